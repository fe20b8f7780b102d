import { HeartbeatRelay, type RelayReply } from '../../src/relay/heartbeat-relay.ts';
import type { HeartbeatResponse } from '../../src/peers/messages.ts';

/** A batch that the relay has sent, with functions that settle the request. */
export interface SentBatch {
  leader: string;
  heartbeats: string[];
  reply(reply: RelayReply | null): void;
  fail(error: Error): void;
}

/** One response for each heartbeat, whose body repeats the heartbeat. */
export function responsesTo(heartbeats: readonly string[]): HeartbeatResponse[] {
  return heartbeats.map((body) => ({ status: 200, body: `for ${body}` }));
}

/** A relay with a fake clock and a fake leader; tests reply to the batches that it sends. */
export class RelayHarness {
  now = 0;
  leader: string | null = 'one';
  readonly errors: unknown[] = [];
  /** Batches sent that the test hasn't taken yet. */
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

  /** Advances the clock, runs the timers that are due and lets promises settle. */
  async advance(ms: number): Promise<void> {
    this.now += ms;
    const due = this.timers.filter((timer) => timer.at <= this.now);
    this.timers = this.timers.filter((timer) => timer.at > this.now);
    for (const timer of due) timer.run();
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** Removes and returns the newest batch. Throws if there is none. */
  takeBatch(): SentBatch {
    const batch = this.batches.pop();
    if (!batch) throw new Error('the relay has sent no batch');
    return batch;
  }

  /** Makes the leader ask the relay to relay heartbeats. */
  async startRelaying(): Promise<void> {
    this.relay.tryRelay('first', () => undefined);
    this.takeBatch().reply({ relay: true, responses: [] });
    await this.advance(1000);
  }
}
