interface ScheduledEvent {
  at: number;
  sequence: number;
  run: () => void;
}

const isEarlier = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Number of events after which the queue yields to the event loop of Node.js. */
const EVENTS_PER_YIELD = 2000;

const yieldToEventLoop = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
/** Node.js runs ticks only once its queue of promise jobs is empty; a turn of the event loop would cost far more. */
const settlePromises = (): Promise<void> =>
  new Promise((resolve) => {
    process.nextTick(resolve);
  });

/**
 * Simulated time in milliseconds: events run one by one in the order of their times, events of the same time in the
 * order in which they were scheduled. All promises settle between two events.
 */
export class EventQueue {
  /** The current simulated time. */
  nowMs = 0;
  private scheduledCount = 0;
  /** A binary heap, the earliest entry first. */
  private readonly heap: ScheduledEvent[] = [];

  /** Schedules an event after a delay; a negative delay counts as 0. */
  after(ms: number, run: () => void): void {
    this.push({ at: this.nowMs + Math.max(0, ms), sequence: this.scheduledCount++, run });
  }

  /** Resolves after a delay in simulated time. */
  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(ms, resolve);
    });
  }

  /** Runs all events up to and including a time. */
  async run(untilMs: number): Promise<void> {
    let runCount = 0;
    for (let next = this.heap[0]; next && next.at <= untilMs; next = this.heap[0]) {
      this.pop();
      this.nowMs = next.at;
      next.run();
      runCount += 1;
      await (runCount % EVENTS_PER_YIELD === 0 ? yieldToEventLoop() : settlePromises());
    }
    this.nowMs = untilMs;
  }

  private push(entry: ScheduledEvent): void {
    const { heap } = this;
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(entry, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isEarlier(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}
