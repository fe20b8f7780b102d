/**
 * `npm run days:digest`: prints one line a day of the fixed list (name, number of messages, SHA-256).
 * `-- --check` compares with `digests.txt` and exits with 1 if a day differs; `-- --day NAME --messages` prints the
 * day's messages instead, one a line.
 */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { digestDays } from './days.ts';
import { digestOf, playMessages } from './traffic-digest.ts';

const RECORDED = new URL('./digests.txt', import.meta.url);

const { values } = parseArgs({
  options: {
    check: { type: 'boolean', default: false },
    day: { type: 'string', multiple: true },
    messages: { type: 'boolean', default: false },
  },
});

const wanted = values.day;
const days = digestDays().filter(({ name }) => !wanted || wanted.includes(name));
const recorded = new Map(
  (values.check ? readFileSync(RECORDED, 'utf8') : '')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => [line.split(' ')[0], line]),
);

let different = 0;
for (const { name, sketch } of days) {
  if (values.messages) {
    await playMessages(sketch, (line) => {
      process.stdout.write(`${line}\n`);
    });
    continue;
  }
  const { messages, sha256 } = await digestOf(sketch);
  const line = `${name} ${messages} ${sha256}`;
  if (!values.check) {
    process.stdout.write(`${line}\n`);
  } else if (recorded.get(name) !== line) {
    different += 1;
    process.stdout.write(`differs: ${line} (recorded: ${recorded.get(name) ?? 'none'})\n`);
  }
}
if (values.check) {
  process.stdout.write(`${days.length - different} of ${days.length} days have the recorded digest\n`);
  process.exitCode = different === 0 ? 0 : 1;
}
