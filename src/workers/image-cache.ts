/**
 * The container images on one machine and the fetches in progress, as far as the leader can tell. Times are in
 * milliseconds on the steady clock.
 */
export class ImageCache {
  /** When each image that the machine has or fetches is expected to be complete. */
  private readonly readyAtByImage = new Map<string, number>();
  /** When all fetches in progress are expected to be complete; -Infinity before the first one. */
  private fetchesEndAt = -Infinity;

  /** When all fetches in progress are expected to be complete; -Infinity before the first one. */
  get fetchingUntil(): number {
    return this.fetchesEndAt;
  }

  /** The images that the machine has or fetches. */
  keys(): IterableIterator<string> {
    return this.readyAtByImage.keys();
  }

  /** When the image is expected to be complete; undefined if the machine neither has nor fetches it. */
  getReadyAt(image: string): number | undefined {
    return this.readyAtByImage.get(image);
  }

  has(image: string): boolean {
    return this.readyAtByImage.has(image);
  }

  /** The image is on the machine: the phase of a task that uses it shows that. */
  notePresent(image: string, now: number): void {
    this.readyAtByImage.set(image, now);
  }

  /** A fetch that takes `durationMs` begins once those in progress are complete. */
  noteFetch(image: string, durationMs: number, now: number): void {
    this.fetchesEndAt = Math.max(now, this.fetchesEndAt) + durationMs;
    this.readyAtByImage.set(image, this.fetchesEndAt);
  }

  /** The worker gives up the fetch of an image. */
  abandonFetch(image: string, now: number): void {
    this.readyAtByImage.delete(image);
    this.fetchesEndAt = Math.max(now, ...this.readyAtByImage.values());
  }

  /** The worker has lost all images. */
  clear(): void {
    this.readyAtByImage.clear();
  }
}
