/** Keeps the lease of one leadership valid by renewals at the store, or by peer leases while the store fails. */
import type { Clock } from '../base/clock.ts';
import type { KeyValueStore } from '../store/key-value-store.ts';
import type { Leadership, LeadershipState } from './leadership-state.ts';
import { computeLeaseExpiry, type LeaseOptions } from './lease.ts';

/** Upper bound of the renewals in flight at once. */
const MAX_RENEWALS_IN_FLIGHT = 4;
/** After failures the next renewal is sent sooner: after this delay for each consecutive failure, up to the maximum. */
const RETRY_STEP_MS = 100;
const MAX_RETRY_DELAY_MS = 500;

/** What the renewal of a lease needs from the rest of the election. */
export interface LeaseRenewalDeps {
  store: Pick<KeyValueStore, 'renewLease'>;
  clock: Clock;
  options: LeaseOptions;
  state: LeadershipState;
  pause: (ms: number) => Promise<void>;
  /** Requests peer leases in place of a renewal. */
  extendByPeerLeases(leadership: Leadership): Promise<void>;
  stepDown(reason: string): void;
  /** Runs a task without waiting for it, and reports its failure. */
  runInBackground: (task: Promise<unknown>) => void;
  /** Aborted once the election is stopped. */
  signal: AbortSignal;
}

/** Renews the lease of one leadership until the leadership ends. */
export class LeaseRenewal {
  private renewalsInFlight = 0;
  private consecutiveFailures = 0;
  private requestingPeerLeases = false;

  constructor(
    private readonly leadership: Leadership,
    private readonly deps: LeaseRenewalDeps,
  ) {}

  /**
   * Sends renewals at intervals without waiting for responses. A busy controller reads responses late: if each renewal
   * waited for the response to the previous one, even a lease of several seconds could expire in between.
   */
  async run(): Promise<void> {
    const { state, signal, pause, runInBackground } = this.deps;
    while (state.isHeld(this.leadership) && !signal.aborted) {
      await pause(this.nextDelayMs());
      if (!state.isHeld(this.leadership)) return;
      if (this.renewalsInFlight >= MAX_RENEWALS_IN_FLIGHT) continue;
      this.renewalsInFlight += 1;
      runInBackground(
        this.renew().finally(() => {
          this.renewalsInFlight -= 1;
        }),
      );
    }
  }

  private nextDelayMs(): number {
    if (this.consecutiveFailures === 0) return this.deps.options.renewMs;
    return Math.min(MAX_RETRY_DELAY_MS, RETRY_STEP_MS * this.consecutiveFailures);
  }

  private async renew(): Promise<void> {
    const { store, clock, options, state } = this.deps;
    const sentAt = clock.now();
    const renewed = await store.renewLease(this.leadership.lease, options.ttlMs / 2);
    if (!state.isHeld(this.leadership)) return;
    if (renewed.kind === 'ok') {
      this.consecutiveFailures = 0;
      if (renewed.value) state.onLeaseRenewed(computeLeaseExpiry(sentAt, options.ttlMs));
      else this.deps.stepDown('lease expired');
      return;
    }
    this.consecutiveFailures += 1;
    if (this.requestingPeerLeases) return;
    this.requestingPeerLeases = true;
    await this.deps.extendByPeerLeases(this.leadership);
    this.requestingPeerLeases = false;
  }
}
