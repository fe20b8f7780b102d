import assert from 'node:assert/strict';
import test from 'node:test';
import { LeadershipRecords, type LeaderRead, type TermRead } from '../../src/leadership/leader-record.ts';
import type { StoreResult } from '../../src/store/key-value-store.ts';
import type { Item } from '../../src/wire/state.ts';
import { silent } from '../helpers.ts';

interface Reads {
  leader: LeaderRead;
  term: TermRead;
  /** The notifications of the observer. */
  observed: string[];
}

/** Reads both records from a store that always gives this answer. */
async function readBoth(answer: StoreResult<Item | null>): Promise<Reads> {
  const observed: string[] = [];
  const observer = {
    observeLeaderTerm: (term: number) => observed.push(`leader ${term}`),
    observeTermRecord: (term: number) => observed.push(`term ${term}`),
  };
  const records = new LeadershipRecords({ get: () => Promise.resolve(answer) }, observer, silent);
  const leader = await records.readLeader('lease');
  const term = await records.readTerm('lease');
  return { leader, term, observed };
}

function foundItem(value: unknown): StoreResult<Item> {
  return { kind: 'ok', value: { key: 'key', value, version: 7, lease: 3 } };
}

test('a read that is refused or has no response leaves the record unavailable, with the failure', async () => {
  for (const failure of [{ kind: 'refused', overLimit: true }, { kind: 'unknown' }] as const) {
    assert.deepEqual(await readBoth(failure), {
      leader: { kind: 'unavailable', failure },
      term: { kind: 'unavailable', failure },
      observed: [],
    });
  }
});

test('without records there is no leader, and the term is 0', async () => {
  assert.deepEqual(await readBoth({ kind: 'ok', value: null }), {
    leader: { kind: 'absent' },
    term: { kind: 'known', term: 0, version: 0 },
    observed: ['term 0'],
  });
});

test('a leader record is read with its version and lease', async () => {
  const record = { node: 'n1', term: 4, nonce: 'n1-1' };
  const { leader, observed } = await readBoth(foundItem(record));
  assert.deepEqual(leader, { kind: 'held', record, version: 7, lease: 3 });
  assert.deepEqual(observed, ['leader 4']);
});

test('a term record is read with its version', async () => {
  const { term, observed } = await readBoth(foundItem({ n: 4 }));
  assert.deepEqual(term, { kind: 'known', term: 4, version: 7 });
  assert.deepEqual(observed, ['term 4']);
});

test('records of another format are malformed, and no term is observed', async () => {
  assert.deepEqual(await readBoth(foundItem({ n: '4', node: 'n1' })), {
    leader: { kind: 'malformed' },
    term: { kind: 'malformed' },
    observed: [],
  });
});
