import { required } from '../../src/base/required.ts';

/** Events in simulated time, run one by one; promises settle between them. */
export class Sim {
  at = 0;
  private seq = 0;
  private readonly events: { at: number; seq: number; run: () => void }[] = [];
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0 || 1;
  }

  /** xorshift32: only the order of simulated events hangs on it, and it must never change between runs. */
  random(): number {
    let x = this.state;
    x ^= x << 13;
    x ^= x >>> 17;
    x ^= x << 5;
    this.state = x >>> 0;
    return this.state / 2 ** 32;
  }

  between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  chance(p: number): boolean {
    return this.random() < p;
  }

  after(ms: number, run: () => void): void {
    const event = { at: this.at + Math.max(0, ms), seq: this.seq++, run };
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const mid = (low + high) >> 1;
      const e = required(this.events[mid], 'event');
      if (e.at > event.at || (e.at === event.at && e.seq > event.seq)) low = mid + 1;
      else high = mid;
    }
    this.events.splice(low, 0, event);
  }

  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

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
