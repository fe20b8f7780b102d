/**
 * `npm run days:digest`: prints one line per digest day (name, number of messages, SHA-256).
 * `-- --check` compares the lines with `digests.txt` and exits with 1 if a day differs; `-- --day NAME --messages`
 * prints the messages of the day instead, one per line.
 */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { digestDays } from './days.ts';
import { computeDigest, streamMessages } from './traffic-digest.ts';

const RECORDED_DIGESTS = new URL('./digests.txt', import.meta.url);

const { values } = parseArgs({
  options: {
    check: { type: 'boolean', default: false },
    day: { type: 'string', multiple: true },
    messages: { type: 'boolean', default: false },
  },
});

const selectedNames = values.day;
const days = digestDays().filter(({ name }) => !selectedNames || selectedNames.includes(name));
const recordedLines = new Map(
  (values.check ? readFileSync(RECORDED_DIGESTS, 'utf8') : '')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => [line.split(' ')[0], line]),
);

let differentCount = 0;
for (const { name, spec } of days) {
  if (values.messages) {
    await streamMessages(spec, (line) => {
      process.stdout.write(`${line}\n`);
    });
    continue;
  }
  const { messages, sha256 } = await computeDigest(spec);
  const line = `${name} ${messages} ${sha256}`;
  if (!values.check) {
    process.stdout.write(`${line}\n`);
  } else if (recordedLines.get(name) !== line) {
    differentCount += 1;
    process.stdout.write(`differs: ${line} (recorded: ${recordedLines.get(name) ?? 'none'})\n`);
  }
}
if (values.check) {
  process.stdout.write(`${days.length - differentCount} of ${days.length} days have the recorded digest\n`);
  process.exitCode = differentCount === 0 ? 0 : 1;
}
