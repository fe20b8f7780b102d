import * as z from 'zod/mini';
import { validate, ConfigError, readTextFile } from './settings.ts';

interface OptionSpec {
  defaultValue: number;
  min: number;
  max: number;
  unit: string;
  description: string;
}

const option = (value: number, min: number, max: number, unit: string, about: string): OptionSpec => ({
  defaultValue: value,
  min,
  max,
  unit,
  description: about,
});

/** Every tunable with its default, bounds and unit. The options file and its documentation come from here. */
export const OPTION_SPECS = {
  leadership: {
    lease_ms: option(
      3000,
      500,
      60_000,
      'ms',
      'time to live of the leader lease in the state service; longer on a small share of a core',
    ),
    renew_ms: option(700, 100, 20_000, 'ms', 'pause between renewals of the leader lease'),
    grace_s: option(12, 0, 300, 's', 'how long reports are still answered once the lease is not sure'),
  },
  scheduling: {
    takeover_wait_s: option(10, 0, 300, 's', 'wait of a new leader before it places'),
    round_gap_ms: option(250, 0, 10_000, 'ms', 'least time between two rounds'),
    round_limit_ms: option(250, 10, 10_000, 'ms', 'time after which a round takes what it has found'),
    max_groups: option(400, 1, 10_000, 'groups', 'groups in one round; others wait for the next'),
    reserve_after_s: option(60, 1, 3600, 's', 'a job that waited longer keeps its nearest machines free'),
    begin_after_s: option(
      150,
      1,
      3600,
      's',
      'an array that waited longer gets its first few tasks before others',
    ),
    finish_batch_ms: option(500, 500, 10_000, 'ms', 'least time between two writes of finished tasks'),
    fetch_steps: option(3, 0, 1000, 'steps/s', 'cost of a second of image fetch, in tasks of load'),
    price_steps: option(3, 0, 1000, 'steps', 'cost of each unit of hourly price over the cheapest type'),
    guarantee_after_s: option(
      60,
      0,
      3600,
      's',
      'wait after which a team is given its guarantee by stopping others',
    ),
    rent_steps: option(
      30,
      0,
      100_000,
      'tenths',
      'cost of a rented machine per unit of hourly price and task',
    ),
    spare_swing: option(
      3,
      0,
      10,
      'times',
      'room kept for classes that must start soon, in roots of what arrives during a boot',
    ),
    spare_patience_s: option(30, 0, 3600, 's', 'wait for room to come before renting for expected tasks'),
    park_headroom: option(
      0,
      0,
      100,
      'machines',
      'machines of a type beyond the present need that take tasks freely',
    ),
    rent_bias_s: option(10, 0, 3600, 's', 'how much later room that is paid for may come than rented room'),
    estimate_margin: option(1.1, 0.1, 10, 'times', 'what the run time estimates are multiplied by'),
    rent_round: option(0, 0, 1, 'machines', 'part of a further machine that is not rented for'),
    warm_steps: option(
      6,
      0,
      1000,
      'steps',
      'cost for others of each image that a quick class has on a machine',
    ),
    preempt: option(1, 0, 1, 'flag', '1: tasks of lower rank are stopped to make room'),
  },
  workers: {
    silent_reports: option(
      2.5,
      2,
      100,
      'intervals',
      'report intervals of silence after which a machine is returned',
    ),
    reports_per_core_s: option(
      2500,
      0.01,
      1_000_000,
      'reports/s',
      'reports that a leader on a whole core answers alone; beyond that followers hand reports on to it',
    ),
    save_margin_s: option(4, 0, 60, 's', 'time kept beside the saving time when a machine is taken away'),
  },
  fleet: {
    takeover_rent_s: option(4, 0, 300, 's', 'wait of a new leader before it rents'),
    patience_share: option(0.9, 0, 1, 'share', 'part of its spare time that a job waits rather than rent'),
    patience_max_s: option(200, 0, 3600, 's', 'longest such wait'),
    idle_price_times: option(
      3,
      1,
      1000,
      'times',
      'price per task, as a multiple of the lowest, up to which machines are rented for work nobody waits for',
    ),
    idle_s: option(8, 0, 3600, 's', 'least idle time after which a machine is returned'),
    idle_boot_share: option(0.3, 0, 100, 'share', 'idle time before a return, as a part of the boot time'),
    least_charge_s: option(
      55,
      0,
      3600,
      's',
      'a rented machine is kept this long: about the least time charged',
    ),
    boot_patience: option(2.5, 1, 20, 'times', 'multiple of the boot time after which a machine is given up'),
    rent_at_once: option(50, 1, 50, 'machines', 'machines of one kind rented in one request'),
    refusal_pause_s: option(8, 1, 600, 's', 'pause after a refused rental; doubles'),
    refusal_pause_max_s: option(30, 1, 3600, 's', 'longest pause after refused rentals'),
    list_s: option(10, 1, 600, 's', 'time between two readings of the machine list'),
  },
  users: {
    forward_ms: option(700, 50, 5000, 'ms', 'wait for the leader when a request is handed to it'),
    retry_after_s: option(1, 1, 30, 's', 'what a refused user is told to wait'),
    final_cache: option(5000, 0, 1_000_000, 'jobs', 'final states kept in memory'),
  },
  http: {
    users_min: option(8, 1, 10_000, 'requests', 'least limit of submissions and cancellations in progress'),
    users_max: option(
      400,
      1,
      10_000,
      'requests',
      'greatest limit of submissions and cancellations in progress',
    ),
    polls_min: option(8, 1, 10_000, 'requests', 'least limit of polls that wait for another controller'),
    polls_max: option(400, 1, 10_000, 'requests', 'greatest limit of such polls'),
    workers_min: option(128, 1, 10_000, 'requests', 'least limit of worker reports in progress'),
    workers_max: option(
      10_000,
      1,
      10_000,
      'requests',
      'greatest limit of worker reports in progress, within the sockets',
    ),
  },
};

type OptionSections = typeof OPTION_SPECS;
/** The operators' options: each option of OPTION_SPECS by section and name, in the unit given there. */
export type Options = { [S in keyof OptionSections]: Record<keyof OptionSections[S], number> };

/** Every tunable at its default. */
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
