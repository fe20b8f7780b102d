/** What is known of the container images on one machine, and of the fetches under way. */
export class ImageCache {
  /** Images that the machine has or fetches, with the time at which each is expected to be there. */
  private readonly readyAtByImage = new Map<string, number>();
  /** When all fetches under way are expected to be complete; -Infinity before the first one. */
  private fetchesEndAt = -Infinity;

  /** When all fetches under way are expected to be complete, in milliseconds on the steady clock. */
  get fetchingUntil(): number {
    return this.fetchesEndAt;
  }

  /** The images that the machine has or fetches. */
  keys(): IterableIterator<string> {
    return this.readyAtByImage.keys();
  }

  /** When the image is expected to be there; undefined if it is neither there nor being fetched. */
  getReadyAt(image: string): number | undefined {
    return this.readyAtByImage.get(image);
  }

  has(image: string): boolean {
    return this.readyAtByImage.has(image);
  }

  /** The image is on the machine, as a task that uses it shows. */
  notePresent(image: string, now: number): void {
    this.readyAtByImage.set(image, now);
  }

  /** A fetch begins after those under way; it takes `durationMs`. */
  noteFetch(image: string, durationMs: number, now: number): void {
    this.fetchesEndAt = Math.max(now, this.fetchesEndAt) + durationMs;
    this.readyAtByImage.set(image, this.fetchesEndAt);
  }

  /** The fetch of an image is given up. */
  abandonFetch(image: string, now: number): void {
    this.readyAtByImage.delete(image);
    this.fetchesEndAt = Math.max(now, ...this.readyAtByImage.values());
  }

  /** The worker has lost what it had. */
  clear(): void {
    this.readyAtByImage.clear();
  }
}
