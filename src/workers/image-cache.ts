/** What is known of the container images on one machine, and of the fetches under way. */
export class ImageCache {
  /** Images that the machine has or fetches, with the time at which each is expected to be there. */
  private readonly readyAt = new Map<string, number>();
  /** When all fetches under way are expected to be complete; -Infinity before the first one. */
  private busyUntil = -Infinity;

  /** When all fetches under way are expected to be complete, in milliseconds on the steady clock. */
  get fetchingUntil(): number {
    return this.busyUntil;
  }

  /** The images that the machine has or fetches. */
  keys(): IterableIterator<string> {
    return this.readyAt.keys();
  }

  /** When the image is expected to be there; undefined if it is neither there nor being fetched. */
  get(image: string): number | undefined {
    return this.readyAt.get(image);
  }

  has(image: string): boolean {
    return this.readyAt.has(image);
  }

  /** The image is on the machine, as a task that uses it shows. */
  notePresent(image: string, now: number): void {
    this.readyAt.set(image, now);
  }

  /** A fetch begins after those under way; it takes `durationMs`. */
  noteFetch(image: string, durationMs: number, now: number): void {
    this.busyUntil = Math.max(now, this.busyUntil) + durationMs;
    this.readyAt.set(image, this.busyUntil);
  }

  /** The fetch of an image is given up. */
  abandonFetch(image: string, now: number): void {
    this.readyAt.delete(image);
    this.busyUntil = Math.max(now, ...this.readyAt.values());
  }

  /** The worker has lost what it had. */
  clear(): void {
    this.readyAt.clear();
  }
}
