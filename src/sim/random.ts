import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Random numbers of a simulated day: the same seed always gives the same numbers. */
export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniformly distributed over [0, 1). */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** Uniformly distributed from `low` to below `high`. */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** True with the given probability. A probability of 0 consumes no random number. */
  chance(probability: number): boolean {
    return probability > 0 && this.next() < probability;
  }

  /** One of the items, or undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.next() * items.length)];
  }
}
