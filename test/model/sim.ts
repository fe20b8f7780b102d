/** Simulated time for tests: an event queue and a random number generator. */
import { required } from '../../src/base/required.ts';

interface ScheduledEvent {
  at: number;
  /** Events of the same moment run in the order in which they were scheduled. */
  sequence: number;
  run: () => void;
}

/** Runs scheduled events one by one in simulated time; pending promises settle between two events. */
export class Sim {
  /** The current simulated time in milliseconds. */
  at = 0;
  private scheduledCount = 0;
  /** In reverse order: the next event is the last element. */
  private readonly events: ScheduledEvent[] = [];
  private randomState: number;

  constructor(seed: number) {
    this.randomState = seed >>> 0 || 1;
  }

  /** A number in [0, 1), by xorshift32. It decides only the order of events, which must be the same in every run. */
  random(): number {
    let bits = this.randomState;
    bits ^= bits << 13;
    bits ^= bits >>> 17;
    bits ^= bits << 5;
    this.randomState = bits >>> 0;
    return this.randomState / 2 ** 32;
  }

  /** A random number in [`low`, `high`). */
  between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.random() < probability;
  }

  /** Schedules an event after a delay. */
  after(ms: number, run: () => void): void {
    const event = { at: this.at + Math.max(0, ms), sequence: this.scheduledCount, run };
    this.scheduledCount += 1;
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isLater(required(this.events[middle], 'event'), event)) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  /** Resolves after a delay. */
  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs all events up to and including `untilMs`, and sets the current time to it. */
  async run(untilMs: number): Promise<void> {
    for (;;) {
      const next = this.events.at(-1);
      if (!next || next.at > untilMs) break;
      this.events.pop();
      this.at = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.at = untilMs;
  }
}

function isLater(first: ScheduledEvent, second: ScheduledEvent): boolean {
  return first.at > second.at || (first.at === second.at && first.sequence > second.sequence);
}
