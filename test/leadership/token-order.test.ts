/** Fencing tokens across leaderships of this version and of the version before, which used its term as its only token. */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type { Leadership } from '../../src/leadership/leadership-state.ts';
import { putLeader, putTerm } from '../../src/leadership/leader-record.ts';
import { KEYS } from '../../src/store/keys.ts';
import { FencingTokens, TOKENS_PER_RESERVATION } from '../../src/workers/fencing-tokens.ts';
import { SEED } from '../helpers.ts';
import { Sim } from '../model/sim.ts';
import { createElection } from './election-fixture.ts';
import { LeaseModel } from './lease-model.ts';

/** A leadership of the version before: its term follows the term record, and is its only token. */
interface EarlierLeadership {
  version: 'earlier';
}
/** A leadership of this version; it reserves further tokens `reservations` times and uses all of them. */
interface PresentLeadership {
  version: 'present';
  reservations: number;
}

const anyLeadership: fc.Arbitrary<EarlierLeadership | PresentLeadership> = fc.oneof(
  fc.record({ version: fc.constant('earlier' as const) }),
  fc.record({ version: fc.constant('present' as const), reservations: fc.nat(3) }),
);

/** A store in which leaderships of both versions follow each other. */
class VersionedLeaderships {
  private readonly sim = new Sim(SEED);
  private readonly model = new LeaseModel(this.sim);
  private readonly store = this.model.storeOf({ refusedUntil: 0, lossy: false });
  private endMs = 0;

  private async advance(ms: number): Promise<void> {
    this.endMs += ms;
    await this.sim.run(this.endMs);
  }

  private put(mutations: ReturnType<typeof putTerm>[]): void {
    void this.store.compareAndSwap([], mutations, 'lease');
  }

  /** The tokens that a leadership of the earlier version may use. */
  async leadEarlier(): Promise<FencingTokens> {
    const term = this.model.term() + 1;
    const lease = await this.grant();
    this.put([putLeader({ node: 'hearth-9', term, nonce: 'x' }, lease), putTerm(term)]);
    await this.advance(1000);
    void this.store.revokeLease(lease);
    await this.advance(1000);
    return new FencingTokens(term, term);
  }

  private async grant(): Promise<number> {
    const granted = this.store.grantLease(600_000);
    await this.advance(1000);
    const lease = await granted;
    assert.ok(lease.kind === 'ok');
    return lease.value;
  }

  /** The tokens that a leadership of this version may use. */
  async leadPresent(reservations: number): Promise<FencingTokens> {
    const won: Leadership[] = [];
    const election = createElection(this.sim, {
      store: this.store,
      acquired: (leadership) => won.push(leadership),
    });
    election.start();
    await this.advance(10_000);
    const [held] = won;
    assert.ok(held, 'the controller leads');
    assert.equal(this.model.term(), held.term);
    const tokens = new FencingTokens(held.firstToken, held.term);
    for (let count = 0; count < reservations; count++) {
      const last = tokens.last + TOKENS_PER_RESERVATION;
      this.put([putTerm(last)]);
      await this.advance(1000);
      tokens.extendTo(last);
    }
    election.stop();
    election.stepDown('ended by the test');
    await this.advance(10_000);
    return tokens;
  }

  /** Puts the term record of an earlier deployment. */
  async begin(term: number): Promise<void> {
    if (term > 0) this.put([putTerm(term)]);
    await this.advance(1000);
  }
}

test('every leadership of either version begins above all tokens of the leaderships before', async () => {
  const days = fc.tuple(fc.nat(500), fc.array(anyLeadership, { minLength: 2, maxLength: 6 }));
  await fc.assert(
    fc.asyncProperty(days, async ([recordedTerm, leaderships]) => {
      const store = new VersionedLeaderships();
      await store.begin(recordedTerm);
      let highestUsed = recordedTerm;
      for (const next of leaderships) {
        const tokens =
          next.version === 'earlier' ? await store.leadEarlier() : await store.leadPresent(next.reservations);
        assert.ok(tokens.first > highestUsed, `${tokens.first} after ${highestUsed}`);
        assert.ok(tokens.last >= tokens.first);
        highestUsed = tokens.last;
      }
    }),
    { seed: SEED, numRuns: 25, endOnFailure: true, includeErrorInReport: true },
  );
});

test('the keys that both versions derive tokens from are the same', () => {
  assert.deepEqual(putTerm(7), { put: KEYS.term, value: { n: 7 } });
});
