interface Entry {
  at: number;
  order: number;
  run: () => void;
}

const earlier = (a: Entry, b: Entry): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** After so many events the process gets to its other work. */
const YIELD_EVERY = 2000;

const processTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
/** The process runs its ticks only once no promise is left to settle; a turn of its loop would cost far more. */
const promisesSettled = (): Promise<void> =>
  new Promise((resolve) => {
    process.nextTick(resolve);
  });

/**
 * Simulated time in milliseconds: events run one after the other in the order of their times, those of the same
 * time in the order in which they were scheduled. All promises settle between two events.
 */
export class EventQueue {
  /** The time now. */
  at = 0;
  private scheduled = 0;
  /** A binary heap, the earliest entry first. */
  private readonly heap: Entry[] = [];

  after(ms: number, run: () => void): void {
    this.push({ at: this.at + Math.max(0, ms), order: this.scheduled++, run });
  }

  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs all events up to a time. */
  async run(until: number): Promise<void> {
    let ran = 0;
    for (let next = this.heap[0]; next && next.at <= until; next = this.heap[0]) {
      this.pop();
      this.at = next.at;
      next.run();
      ran += 1;
      await (ran % YIELD_EVERY === 0 ? processTurn() : promisesSettled());
    }
    this.at = until;
  }

  private push(entry: Entry): void {
    const { heap } = this;
    let i = heap.push(entry) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!earlier(entry, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = entry;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && earlier(heap[child + 1]!, heap[child]!)) child += 1;
      if (!earlier(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
  }
}
