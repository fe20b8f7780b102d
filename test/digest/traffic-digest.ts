/** Hashes all messages of a simulated day. */
import { createHash } from 'node:crypto';
import { encodeFrame } from '../../src/peers/frame-codec.ts';
import type { PeerReply, PeerRequest } from '../../src/peers/messages.ts';
import { Emulator } from '../../src/sim/emulator.ts';
import type { SentMessage } from '../../src/sim/network.ts';
import { createDefectRecorder } from '../defects.ts';
import { buildScenario, type DaySpec } from '../sim/days.ts';

/** The method of the messages between controllers in the emulated network. */
const PEER_METHOD = 'MESH';

/** The hashed content of a message: the encoded frame in hex between controllers, otherwise the body as it is. */
function encodeContent(message: SentMessage): string {
  if (message.method !== PEER_METHOD) return message.body;
  const content: unknown = JSON.parse(message.body);
  const frame =
    message.status === null
      ? { id: 0, request: content as PeerRequest, reply: null }
      : { id: 0, request: null, reply: content as PeerReply };
  return encodeFrame(frame).toString('hex');
}

/** One line per message: simulated time in ms, sender, receiver, method, path, status and content. */
export function formatMessage(message: SentMessage): string {
  const { atMs, from, to, method, path, status } = message;
  return [atMs, from.name, to.name, method, path, status ?? '-', encodeContent(message)].join(' ');
}

/** Simulates a day and calls `onLine` with each message as a line. Rejects if a controller logs a defect. */
export async function streamMessages(spec: DaySpec, onLine: (line: string) => void): Promise<void> {
  const observe = (message: SentMessage): void => {
    onLine(formatMessage(message));
  };
  const { logger, defects } = createDefectRecorder();
  await new Emulator(buildScenario(spec), logger, undefined, observe).run();
  if (defects.length > 0) throw new Error(`a controller logged a defect: ${defects.join('\n')}`);
}

/** The digest of all messages of a day. */
export interface TrafficDigest {
  messages: number;
  /** SHA-256 over all message lines in the order in which they were sent. */
  sha256: string;
}

/** Simulates a day and hashes its messages. */
export async function computeDigest(spec: DaySpec): Promise<TrafficDigest> {
  const hash = createHash('sha256');
  let messages = 0;
  await streamMessages(spec, (line) => {
    messages += 1;
    hash.update(line);
    hash.update('\n');
  });
  return { messages, sha256: hash.digest('hex') };
}
