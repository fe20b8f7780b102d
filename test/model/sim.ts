import { EventQueue } from '../../src/sim/queue.ts';
import { Random } from '../../src/sim/random.ts';

/** Simulated time with random numbers of its own. */
export class Sim extends EventQueue {
  private readonly numbers: Random;

  constructor(seed: number) {
    super();
    this.numbers = new Random(seed);
  }

  random(): number {
    return this.numbers.next();
  }

  between(low: number, high: number): number {
    return this.numbers.between(low, high);
  }

  chance(probability: number): boolean {
    return this.numbers.chance(probability);
  }
}
