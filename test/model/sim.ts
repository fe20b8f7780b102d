/** Simulated time for tests: a queue of events and a generator of random numbers. */
import { required } from '../../src/base/required.ts';

interface SimEvent {
  at: number;
  /** Events of the same moment run in the order in which they were scheduled. */
  sequence: number;
  run: () => void;
}

/** Events in simulated time, in milliseconds, run one by one; promises settle between them. */
export class Sim {
  /** The present moment. */
  at = 0;
  private scheduled = 0;
  /** The next event last. */
  private readonly events: SimEvent[] = [];
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0 || 1;
  }

  /** From 0 to below 1, by xorshift32: only the order of events depends on it, and that must be the same in all runs. */
  random(): number {
    let bits = this.state;
    bits ^= bits << 13;
    bits ^= bits >>> 17;
    bits ^= bits << 5;
    this.state = bits >>> 0;
    return this.state / 2 ** 32;
  }

  /** A random number from `low` to below `high`. */
  between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  /** True with that probability. */
  chance(probability: number): boolean {
    return this.random() < probability;
  }

  /** Schedules an event. */
  after(ms: number, run: () => void): void {
    const event = { at: this.at + Math.max(0, ms), sequence: this.scheduled, run };
    this.scheduled += 1;
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isLater(required(this.events[middle], 'event'), event)) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  /** Resolves after that time. */
  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs all events up to a moment, which is the present one afterwards. */
  async run(until: number): Promise<void> {
    for (;;) {
      const next = this.events.at(-1);
      if (!next || next.at > until) break;
      this.events.pop();
      this.at = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.at = until;
  }
}

function isLater(first: SimEvent, second: SimEvent): boolean {
  return first.at > second.at || (first.at === second.at && first.sequence > second.sequence);
}
