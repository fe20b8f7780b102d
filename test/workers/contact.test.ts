import assert from 'node:assert/strict';
import test from 'node:test';
import { Machine } from '../../src/workers/machine.ts';

const TIMES = { leaseMs: 30_000, reportMs: 5000 };
const TERM = 7;

function known(): Machine {
  const m = new Machine(
    0,
    { name: 'n-1', address: 'x:1', machineType: 'g8', zone: 'a', spot: false },
    0,
    0,
    0,
    0,
  );
  m.incarnation = 1;
  m.fencingToken = TERM;
  m.leaseRenewedBefore = 0;
  return m;
}

test('reports alone are contact only while nothing says that the machine hears nothing', () => {
  const m = known();
  m.noteContact({ fencingToken: TERM, incarnation: 1 }, false, TERM, 1000, TIMES);
  assert.equal(m.lastRoundTripAt, 1000);
  // An order got no answer: from now on only an answer, or a start that arrived, counts.
  m.missedAcknowledgements = 1;
  m.noteContact({ fencingToken: TERM, incarnation: 1 }, false, TERM, 6000, TIMES);
  assert.equal(m.lastRoundTripAt, 1000);
  m.acknowledged(7000);
  assert.deepEqual([m.lastRoundTripAt, m.missedAcknowledgements], [7000, 0]);
});

test('a session that ends though its reports were answered says that answers do not arrive', () => {
  const m = known();
  m.leaseRenewedBefore = 20_000;
  m.noteContact({ fencingToken: TERM, incarnation: 2 }, false, TERM, 31_000, TIMES);
  assert.equal(m.missedAcknowledgements, 1);
  const hung = known();
  hung.noteContact({ fencingToken: TERM, incarnation: 2 }, false, TERM, 31_000, TIMES);
  assert.equal(hung.missedAcknowledgements, 0, 'nobody answered it for a lease');
});

test('a token that stays behind is no contact after a while: a deaf machine, or late copies', () => {
  const m = known();
  m.fencingToken = TERM - 1;
  m.noteContact({ fencingToken: TERM - 1, incarnation: 1 }, false, TERM, 1000, TIMES);
  assert.equal(m.lastRoundTripAt, 1000);
  m.noteContact({ fencingToken: TERM - 1, incarnation: 1 }, false, TERM, 20_000, TIMES);
  assert.equal(m.lastRoundTripAt, 1000);
  m.noteContact({ fencingToken: TERM, incarnation: 1 }, false, TERM, 21_000, TIMES);
  assert.equal(m.lastRoundTripAt, 21_000);
});
