/**
 * `npm run days:compare -- CHECKOUT_A CHECKOUT_B [--day NAME]...`: plays the list on two checkouts and names the first day, and the
 * first message of it, that differ. Exits with 0 if all are equal, 1 if a day differs, 2 if a checkout can't play.
 */
import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { parseArgs } from 'node:util';
import { digestDays } from './days.ts';

const MOST_OUTPUT_BYTES = 512 * 1024 * 1024;

/** A checkout could not play a day; `stderr` says why. */
class PlayError extends Error {
  readonly code = 'PLAY_FAILED';

  constructor(
    readonly checkout: string,
    readonly stderr: string,
  ) {
    super(`${checkout} can't play: ${stderr}`);
    this.name = 'PlayError';
  }
}

function output(checkout: string, args: readonly string[]): string[] {
  const script = path.join(checkout, 'test/digest/print.ts');
  const tsx = path.join(checkout, 'node_modules/.bin/tsx');
  const run = spawnSync(tsx, [script, ...args], { encoding: 'utf8', maxBuffer: MOST_OUTPUT_BYTES });
  if (run.status !== 0) throw new PlayError(checkout, run.stderr);
  return run.stdout.split('\n');
}

/** The first line in which two outputs differ, counted from 1; null if they are equal. */
function firstDifference(left: readonly string[], right: readonly string[]): number | null {
  const length = Math.max(left.length, right.length);
  for (let line = 0; line < length; line++) if (left[line] !== right[line]) return line + 1;
  return null;
}

function compare(left: string, right: string, names: readonly string[]): number {
  for (const name of names) {
    const day = ['--day', name];
    if (firstDifference(output(left, day), output(right, day)) === null) continue;
    const messages = [...day, '--messages'];
    const [ofLeft, ofRight] = [output(left, messages), output(right, messages)];
    const line = firstDifference(ofLeft, ofRight) ?? 0;
    process.stdout.write(`first day that differs: ${name}, message ${line}\n`);
    process.stdout.write(`${left}: ${ofLeft[line - 1] ?? 'no more messages'}\n`);
    process.stdout.write(`${right}: ${ofRight[line - 1] ?? 'no more messages'}\n`);
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
    process.exitCode = compare(left, right, values.day ?? digestDays().map(({ name }) => name));
  } catch (error) {
    if (!(error instanceof PlayError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 2;
  }
}
