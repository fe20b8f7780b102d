import { HeartbeatRelay, type RelayReply } from '../../src/relay/heartbeat-relay.ts';
import type { HeartbeatResponse } from '../../src/peers/messages.ts';

/** What the relay sent in one request, and the leader's reply to it. */
export interface SentBatch {
  leader: string;
  heartbeats: string[];
  reply(reply: RelayReply | null): void;
  fail(error: Error): void;
}

/** A response for each heartbeat that names it. */
export function responsesTo(heartbeats: readonly string[]): HeartbeatResponse[] {
  return heartbeats.map((body) => ({ status: 200, body: `for ${body}` }));
}

/** A relay on a clock of its own; the test replies to what it sends. */
export class RelayHarness {
  now = 0;
  leader: string | null = 'one';
  readonly errors: unknown[] = [];
  /** Sent and not replied to yet. */
  readonly batches: SentBatch[] = [];
  private timers: { at: number; run: () => void }[] = [];
  readonly relay = new HeartbeatRelay({
    now: () => this.now,
    after: (ms, run) => this.timers.push({ at: this.now + ms, run }),
    leader: () => this.leader,
    send: (leader, heartbeats) =>
      new Promise((resolve, reject) => {
        this.batches.push({ leader, heartbeats, reply: resolve, fail: reject });
      }),
    onError: (error) => this.errors.push(error),
    relayDurationMs: 30_000,
  });

  /** Lets time pass, runs what is due and lets all promises settle. */
  async advance(ms: number): Promise<void> {
    this.now += ms;
    const due = this.timers.filter((timer) => timer.at <= this.now);
    this.timers = this.timers.filter((timer) => timer.at > this.now);
    for (const timer of due) timer.run();
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** The newest batch; it must be there. */
  takeBatch(): SentBatch {
    const batch = this.batches.pop();
    if (!batch) throw new Error('the relay has sent nothing');
    return batch;
  }

  /** Makes the leader ask for heartbeats. */
  async startRelaying(): Promise<void> {
    this.relay.tryRelay('first', () => undefined);
    this.takeBatch().reply({ relay: true, responses: [] });
    await this.advance(1000);
  }
}
