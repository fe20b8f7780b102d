/** A job's completion bitmap, kept in the store in chunks of a bounded size. */

/** The bitmap of one chunk takes 512 bytes before its encoding. */
export const TASKS_PER_CHUNK = 4096;

/** Index of the chunk that holds a task. */
export function chunkOf(task: number): number {
  return Math.floor(task / TASKS_PER_CHUNK);
}

/** The tasks of a chunk: from `first` up to, but not including, `end`. `taskCount`: number of the job's tasks. */
export function chunkRange(chunk: number, taskCount: number): { first: number; end: number } {
  const first = chunk * TASKS_PER_CHUNK;
  return { first, end: Math.min(taskCount, first + TASKS_PER_CHUNK) };
}

/** A bitmap for `taskCount` tasks, with all bits unset. */
export function newBitmap(taskCount: number): Uint8Array {
  return new Uint8Array(Math.ceil(taskCount / 8));
}

/** Whether a bit is set; bits beyond the end of the bitmap are not. */
export function hasBit(bitmap: Uint8Array, index: number): boolean {
  return ((bitmap[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}

/** Sets a bit, which must be inside the bitmap. */
export function setBit(bitmap: Uint8Array, index: number): void {
  const byte = index >> 3;
  bitmap[byte] = (bitmap[byte] ?? 0) | (1 << (index & 7));
}
