import { readFileSync } from 'node:fs';
import * as z from 'zod/mini';

const amount = z.number().check(z.minimum(0));
const hostPort = z.string().check(z.regex(/^[^:\s]+:\d{1,5}$/));
const positiveInt = z.int().check(z.minimum(1));
/** Calls to the state service, the cloud and the other controllers need at least this many sockets. */
const socketCount = z.int().check(z.minimum(32));
/** Archiving a job takes three mutations: its record is deleted, its terminal state put, and the fence key changed. */
const transactionOps = z.int().check(z.minimum(3));
/** A value must be able to hold a job's record. */
const valueSizeKb = z.number().check(z.minimum(1));
const requestRate = z.number().check(z.minimum(1));

/** The platform's settings file, as DEPLOY shows it. Unknown fields are ignored. */
const settingsSchema = z.object({
  host_name: z.string().check(z.minLength(1)),
  location: z.string(),
  serve_on: hostPort,
  mesh_addr: hostPort,
  seeds: z.array(z.object({ host_name: z.string(), location: z.string(), peer_addr: hostPort })),
  endpoints: z.object({ cloud: hostPort, state: hostPort }),
  settings: z.object({
    nodes: positiveInt,
    zones: z.array(z.string()),
    teams: z.array(
      z.object({
        name: z.string(),
        cpus: z._default(amount, 0),
        cpus_max: z._default(amount, 0),
        gpus: z._default(amount, 0),
        gpus_max: z._default(amount, 0),
      }),
    ),
    objectives: z._default(
      z.array(
        z.object({
          kind: z.string(),
          class: z.nullish(z.string()),
          within_s: z.nullish(amount),
          share: z.nullish(amount),
          times: z.nullish(amount),
        }),
      ),
      [],
    ),
    workers: z.object({
      report_s: amount,
      lease_s: amount,
      gang_wait_s: amount,
      gang_peer_s: amount,
      cancel_s: amount,
    }),
    state: z.object({
      rps: requestRate,
      write_rps: requestRate,
      value_kb: valueSizeKb,
      txn_ops: transactionOps,
    }),
    cloud: z.object({ rps: amount, list_lag_s: amount }),
    limits: z.object({ cores: amount, memory_mb: amount, sockets: socketCount }),
    clock_off_ms: amount,
  }),
});

/** The platform's settings file. `_s` and `_ms` fields are seconds and milliseconds, `rps` requests a second. */
export type Settings = z.infer<typeof settingsSchema>;

/** A settings or options file that can't be used; the message names the field. */
export class ConfigError extends Error {}

/** Checks a value against a schema. Throws a ConfigError that names the first invalid field. */
export function validate<T>(kind: string, schema: z.ZodMiniType<T>, value: unknown): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const field = issue ? issue.path.join('.') : '';
  const unrecognizedKeys = issue?.code === 'unrecognized_keys' ? `: ${issue.keys.join(', ')}` : '';
  throw new ConfigError(`${kind}: ${field || '(top)'}: ${issue?.message ?? 'invalid'}${unrecognizedKeys}`);
}

/** Reads a text file. Throws a ConfigError with the system's error code if that fails; `kind` names the file's role. */
export function readTextFile(kind: string, path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new ConfigError(`${kind}: can't read ${path}: ${(error as NodeJS.ErrnoException).code ?? 'error'}`);
  }
}

/** Parses and checks the text of a settings file. Throws a ConfigError that names the first invalid field. */
export function parseSettings(text: string): Settings {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    throw new ConfigError('settings: (top): not valid JSON');
  }
  return validate('settings', settingsSchema, raw);
}

/** Reads and checks a settings file. Throws a ConfigError if it is unreadable or invalid. */
export function loadSettings(path: string): Settings {
  return parseSettings(readTextFile('settings', path));
}
