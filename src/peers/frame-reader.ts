/** Reads frames off the byte stream of a connection between controllers. */
import { decodeFrameBody, FrameError, LENGTH_BYTES, MAX_FRAME } from './frame-codec.ts';
import type { PeerFrame } from './messages.ts';

/** Cuts the byte stream of one connection into frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Returns the frames that this chunk completes. Throws a FrameError on one that is too long or doesn't decode. */
  push(chunk: Buffer): PeerFrame[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: PeerFrame[] = [];
    while (this.pending.length >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME) throw new FrameError(`frame of ${length} bytes`);
      const end = LENGTH_BYTES + length;
      if (this.pending.length < end) break;
      frames.push(decodeFrameBody(this.pending.subarray(LENGTH_BYTES, end)));
      this.pending = this.pending.subarray(end);
    }
    return frames;
  }
}
