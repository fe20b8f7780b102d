import * as z from 'zod/mini';
import { validate, ConfigError, readTextFile } from './settings.ts';

interface OptionSpec {
  defaultValue: number;
  min: number;
  max: number;
  unit: string;
  description: string;
}

const option = (
  defaultValue: number,
  min: number,
  max: number,
  unit: string,
  description: string,
): OptionSpec => ({
  defaultValue,
  min,
  max,
  unit,
  description,
});

/** Every option with its default, bounds and unit. The options file and its documentation come from here. */
export const OPTION_SPECS = {
  leadership: {
    lease_ms: option(
      3000,
      500,
      60_000,
      'ms',
      'time to live of the leader lease in the state service; up to doubled on a fraction of a core',
    ),
    renew_ms: option(700, 100, 20_000, 'ms', 'pause between renewals of the leader lease'),
    grace_s: option(
      12,
      0,
      300,
      's',
      'maximum time for which a leader answers heartbeats after its lease has expired',
    ),
  },
  scheduling: {
    takeover_wait_s: option(10, 0, 300, 's', 'delay before a new leader places tasks'),
    round_gap_ms: option(250, 0, 10_000, 'ms', 'minimum interval between two scheduling rounds'),
    round_limit_ms: option(
      250,
      10,
      10_000,
      'ms',
      'time limit of the solver in a round; then the round uses its partial result',
    ),
    max_groups: option(
      400,
      1,
      10_000,
      'groups',
      'maximum number of task groups in one round; the others wait for a later round',
    ),
    reserve_after_s: option(60, 1, 3600, 's', 'waiting time after which machines are reserved for a job'),
    begin_after_s: option(
      150,
      1,
      3600,
      's',
      'waiting time after which the first few tasks of an array are placed before others of its priority',
    ),
    finish_batch_ms: option(500, 500, 10_000, 'ms', 'minimum interval between two writes of completed tasks'),
    fetch_steps: option(
      3,
      0,
      1000,
      'steps/s',
      'cost per second of image fetch; one step is the cost of one more task on a machine',
    ),
    price_steps: option(
      3,
      0,
      1000,
      'steps',
      'cost per unit of hourly price above the cheapest machine that fits',
    ),
    guarantee_after_s: option(
      60,
      0,
      3600,
      's',
      'waiting time after which tasks are preempted for a job within the guarantee of its team',
    ),
    rent_steps: option(
      30,
      0,
      100_000,
      'tenths',
      'cost of provisioning a machine, in tenths of a step per unit of hourly price per task',
    ),
    spare_swing: option(
      3,
      0,
      10,
      'times',
      'capacity held for latency-sensitive classes, as a multiple of the square root of the jobs that arrive during a boot',
    ),
    spare_patience_s: option(
      30,
      0,
      3600,
      's',
      'maximum queueing delay of expected tasks before machines are provisioned for them',
    ),
    park_headroom: option(
      0,
      0,
      100,
      'machines',
      'machines of a type beyond the present need that are not marked as surplus',
    ),
    rent_bias_s: option(
      10,
      0,
      3600,
      's',
      'how much later capacity that is already paid for may be free than a newly provisioned machine',
    ),
    estimate_margin: option(1.1, 0.1, 10, 'times', 'factor by which run time estimates are multiplied'),
    rent_round: option(0, 0, 1, 'machines', 'fraction of a further machine for which none is provisioned'),
    warm_steps: option(
      6,
      0,
      1000,
      'steps',
      'cost for tasks of other classes per image of a latency-sensitive class that a machine has cached',
    ),
    preempt: option(1, 0, 1, 'flag', '1: tasks of lower priority are preempted'),
  },
  workers: {
    silent_reports: option(
      2.5,
      2,
      100,
      'intervals',
      'heartbeat intervals without a message after which a machine counts as unresponsive',
    ),
    reports_per_core_s: option(
      2500,
      0.01,
      1_000_000,
      'reports/s',
      'heartbeats that a leader with one full core answers directly; beyond that followers relay heartbeats',
    ),
    save_margin_s: option(
      4,
      0,
      60,
      's',
      'margin added to the time for a checkpoint when the cloud reclaims a machine',
    ),
  },
  fleet: {
    takeover_rent_s: option(4, 0, 300, 's', 'delay before a new leader provisions machines'),
    patience_share: option(
      0.9,
      0,
      1,
      'share',
      'ratio of its slack that a job waits for a present machine before one is provisioned',
    ),
    patience_max_s: option(200, 0, 3600, 's', 'maximum of the wait that patience_share sets'),
    idle_price_times: option(
      3,
      1,
      1000,
      'times',
      'maximum price per task, as a multiple of the lowest, of machines provisioned for best-effort jobs',
    ),
    idle_s: option(8, 0, 3600, 's', 'minimum idle time before a machine is terminated'),
    idle_boot_share: option(
      0.3,
      0,
      100,
      'share',
      'minimum idle time before a machine is terminated, as a ratio of its boot time',
    ),
    least_charge_s: option(
      55,
      0,
      3600,
      's',
      'minimum age at which an idle machine is terminated: about the minimum time charged',
    ),
    boot_patience: option(
      2.5,
      1,
      20,
      'times',
      'multiple of the boot time after which a machine that has not joined is terminated',
    ),
    rent_at_once: option(50, 1, 50, 'machines', 'maximum number of machines provisioned in one request'),
    refusal_pause_s: option(
      8,
      1,
      600,
      's',
      'backoff after a refused provisioning request; doubles with each refusal',
    ),
    refusal_pause_max_s: option(30, 1, 3600, 's', 'maximum backoff after refused provisioning requests'),
    list_s: option(10, 1, 600, 's', 'interval between two reads of the cloud machine list'),
  },
  users: {
    forward_ms: option(
      700,
      50,
      5000,
      'ms',
      'timeout of a request that is forwarded to another controller; doubled for submissions',
    ),
    retry_after_s: option(1, 1, 30, 's', 'Retry-After of a refused user request'),
    final_cache: option(5000, 0, 1_000_000, 'jobs', 'terminal job states kept in memory'),
  },
  http: {
    users_min: option(
      8,
      1,
      10_000,
      'requests',
      'lower bound of the limit of submissions and cancellations in progress',
    ),
    users_max: option(
      400,
      1,
      10_000,
      'requests',
      'upper bound of the limit of submissions and cancellations in progress',
    ),
    polls_min: option(
      8,
      1,
      10_000,
      'requests',
      'lower bound of the limit of polls that wait for another controller',
    ),
    polls_max: option(
      400,
      1,
      10_000,
      'requests',
      'upper bound of the limit of polls that wait for another controller',
    ),
    workers_min: option(128, 1, 10_000, 'requests', 'lower bound of the limit of heartbeats in progress'),
    workers_max: option(
      10_000,
      1,
      10_000,
      'requests',
      'upper bound of the limit of heartbeats in progress; also bounded by the sockets',
    ),
  },
};

type OptionSections = typeof OPTION_SPECS;
/** The operators' options: each option of OPTION_SPECS by section and name, in the unit given there. */
export type Options = { [S in keyof OptionSections]: Record<keyof OptionSections[S], number> };

/** Every option at its default. */
export function defaultOptions(): Options {
  const options: Record<string, Record<string, number>> = {};
  for (const [section, fields] of Object.entries(OPTION_SPECS)) {
    options[section] = Object.fromEntries(
      Object.entries(fields as Record<string, OptionSpec>).map(([k, t]) => [k, t.defaultValue]),
    );
  }
  return options as Options;
}

function createOptionsSchema() {
  const sections: Record<string, z.ZodMiniType> = {};
  for (const [section, fields] of Object.entries(OPTION_SPECS)) {
    const shape: Record<string, z.ZodMiniType> = {};
    for (const [name, spec] of Object.entries(fields as Record<string, OptionSpec>)) {
      shape[name] = z.optional(z.number().check(z.minimum(spec.min), z.maximum(spec.max)));
    }
    sections[section] = z.optional(z.strictObject(shape));
  }
  return z.strictObject(sections);
}

/** Checks parsed YAML. Unknown keys are an error here: they are most likely misspelt. */
export function parseOptions(raw: unknown): Options {
  const options = defaultOptions();
  if (raw === null || raw === undefined) return options;
  const given = validate('options', createOptionsSchema(), raw) as Record<
    string,
    Record<string, number> | undefined
  >;
  for (const [section, fields] of Object.entries(given)) {
    Object.assign(options[section as keyof Options], fields);
  }
  return options;
}

/** Reads the operators' YAML. The library is loaded only when there is such a file. */
export async function loadOptions(path: string | undefined): Promise<Options> {
  if (path === undefined) return defaultOptions();
  const text = readTextFile('options', path);
  const { parse } = await import('yaml');
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new ConfigError(`options: (top): not valid YAML: ${(error as Error).message.split('\n')[0] ?? ''}`);
  }
  return parseOptions(raw);
}
