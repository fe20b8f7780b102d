/**
 * `npm run days:compare -- CHECKOUT_A CHECKOUT_B [--day NAME]...`: simulates the digest days in two checkouts and prints
 * the first day that differs and its first message that differs. Exits with 0 if all days are equal, 1 if a day differs,
 * 2 if a checkout can't simulate a day.
 */
import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { parseArgs } from 'node:util';
import { digestDays } from './days.ts';

const MAX_OUTPUT_BYTES = 512 * 1024 * 1024;

/** A checkout could not simulate a day; `stderr` has the reason. */
class DigestRunError extends Error {
  readonly code = 'DIGEST_RUN_FAILED';

  constructor(
    readonly checkout: string,
    readonly stderr: string,
  ) {
    super(`${checkout} can't simulate a day: ${stderr}`);
    this.name = 'DigestRunError';
  }
}

/** Runs `print.ts` of a checkout and returns the lines of its output. */
function printLines(checkout: string, args: readonly string[]): string[] {
  const script = path.join(checkout, 'test/digest/print.ts');
  const tsx = path.join(checkout, 'node_modules/.bin/tsx');
  const run = spawnSync(tsx, [script, ...args], { encoding: 'utf8', maxBuffer: MAX_OUTPUT_BYTES });
  if (run.status !== 0) throw new DigestRunError(checkout, run.stderr);
  return run.stdout.split('\n');
}

/** The number of the first line in which two outputs differ, counted from 1; null if they are equal. */
function firstDifference(left: readonly string[], right: readonly string[]): number | null {
  const length = Math.max(left.length, right.length);
  for (let line = 0; line < length; line++) if (left[line] !== right[line]) return line + 1;
  return null;
}

/** Compares days by name and prints the result; returns the exit status. */
function compareDays(left: string, right: string, names: readonly string[]): number {
  for (const name of names) {
    const day = ['--day', name];
    if (firstDifference(printLines(left, day), printLines(right, day)) === null) continue;
    const messages = [...day, '--messages'];
    const [leftMessages, rightMessages] = [printLines(left, messages), printLines(right, messages)];
    const line = firstDifference(leftMessages, rightMessages) ?? 0;
    process.stdout.write(`first day that differs: ${name}, message ${line}\n`);
    process.stdout.write(`${left}: ${leftMessages[line - 1] ?? 'no more messages'}\n`);
    process.stdout.write(`${right}: ${rightMessages[line - 1] ?? 'no more messages'}\n`);
    return 1;
  }
  process.stdout.write(`${names.length} days have the same messages\n`);
  return 0;
}

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { day: { type: 'string', multiple: true } },
});
const [left, right] = positionals;
if (left === undefined || right === undefined) {
  process.stderr.write('usage: compare CHECKOUT_A CHECKOUT_B [--day NAME]...\n');
  process.exitCode = 2;
} else {
  try {
    process.exitCode = compareDays(left, right, values.day ?? digestDays().map(({ name }) => name));
  } catch (error) {
    if (!(error instanceof DigestRunError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 2;
  }
}
