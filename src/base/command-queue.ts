/**
 * Runs commands, the only code that changes the controller's state, in order and in batches. The output of a batch
 * (responses, commands to workers, writes) is sent after the batch, so that one scheduling round serves all requests
 * that arrived together.
 */
export class CommandQueue {
  private queue: (() => void)[] = [];
  private scheduled = false;
  private running = false;

  constructor(
    private readonly afterBatch: () => void,
    private readonly onError: (error: unknown) => void,
    private readonly defer: (run: () => void) => void = setImmediate,
  ) {}

  /** Appends a command, which runs in the next batch. */
  enqueue(command: () => void): void {
    this.queue.push(command);
    if (this.scheduled) return;
    this.scheduled = true;
    this.defer(() => {
      this.drain();
    });
  }

  private drain(): void {
    this.scheduled = false;
    if (this.running) return;
    this.running = true;
    const batch = this.queue;
    this.queue = [];
    for (const command of batch) {
      try {
        command();
      } catch (error) {
        this.onError(error);
      }
    }
    try {
      this.afterBatch();
    } catch (error) {
      this.onError(error);
    }
    this.running = false;
  }
}
