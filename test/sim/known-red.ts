/**
 * Plays the emulated day that `KNOWN-RED.txt` names and prints what it breaks: `npm run known-red`. A machine is back
 * emptied while there is no leader, and a copy of a start command of its first incarnation reaches it first. Exits with
 * 1 as long as a rule is broken.
 */
import { describeViolations, simulateDay } from './days.ts';

const day = await simulateDay({
  seed: 43_057,
  endS: 30,
  faulty: [0, 1],
  jobs: [{ atS: 2, kind: 0, tasks: 8, runS: 40, cancelS: 0 }],
  faults: [
    { kind: 'repeated_requests', of: 'commands', share: 1, minDelayS: 6, maxDelayS: 9, atS: 1, forS: 14 },
    { kind: 'machine_restart', machines: { from: 0, count: 2 }, emptied: true, atS: 16.2, forS: 0.5 },
    { kind: 'crash', node: 'leader', atS: 16.5, forS: 0.2 },
  ],
});
process.stdout.write(`${describeViolations(day)}\n`);
process.exitCode = day.violations.length === 0 ? 0 : 1;
