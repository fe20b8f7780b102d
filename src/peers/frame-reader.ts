/** Reads frames from the byte stream of a connection between controllers. */
import { decodeFrameBody, FrameError, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES } from './frame-codec.ts';
import type { PeerFrame } from './messages.ts';

/** Splits the byte stream of one connection into frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Returns the frames that this chunk completes. Throws a FrameError if a frame is too long or invalid. */
  push(chunk: Buffer): PeerFrame[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: PeerFrame[] = [];
    while (this.pending.length >= LENGTH_PREFIX_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new FrameError(`frame of ${length} bytes is too long`);
      const end = LENGTH_PREFIX_BYTES + length;
      if (this.pending.length < end) break;
      frames.push(decodeFrameBody(this.pending.subarray(LENGTH_PREFIX_BYTES, end)));
      this.pending = this.pending.subarray(end);
    }
    return frames;
  }
}
