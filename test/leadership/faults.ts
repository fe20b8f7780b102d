/** Faults and load that the generated days of the election tests are made of. */
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import type { Controller, Controllers } from './controllers.ts';

/** Kinds of faults; `hand_over` is the one that operators and leaders cause on purpose. */
export type FaultKind =
  | 'refuse'
  | 'outage'
  | 'crash'
  | 'crash_all'
  | 'stall'
  | 'partition'
  | 'hand_over'
  | 'delay_transaction'
  | 'slow';

/** A fault at a moment of simulated time. */
export interface Fault {
  at: number;
  kind: FaultKind;
  /** The controller it strikes, unless it strikes the leader. */
  who: number;
  leading: boolean;
  ms: number;
}

/** A crashed controller is back after this long at most. */
const MAX_RESTART_MS = 6000;

// Back within a fraction of a second, or after long.
const duration = fc.oneof(fc.integer({ min: 20, max: 400 }), fc.integer({ min: 400, max: 20_000 }));

/** Lists of faults of some kinds, within a time and a length. */
export function faultsOf(
  kinds: FaultKind[],
  time: { from: number; to: number },
  length: { min: number; max: number },
): fc.Arbitrary<Fault[]> {
  return fc.array(
    fc.record({
      at: fc.integer({ min: time.from, max: time.to }),
      kind: fc.constantFrom(...kinds),
      who: fc.nat(4),
      leading: fc.boolean(),
      ms: duration,
    }),
    { minLength: length.min, maxLength: length.max },
  );
}

/** Has each fault strike at its moment. */
export function schedule(cluster: Controllers, faults: readonly Fault[]): void {
  for (const fault of faults) {
    cluster.sim.after(fault.at, () => {
      strike(cluster, fault);
    });
  }
}

function strike(cluster: Controllers, fault: Fault): void {
  const node = struckBy(cluster, fault);
  const until = cluster.sim.at + fault.ms;
  switch (fault.kind) {
    case 'outage':
      cluster.store.outage(fault.ms);
      break;
    case 'refuse':
      node.refusedUntil = until;
      break;
    case 'crash':
      cluster.crash(node, Math.min(fault.ms, MAX_RESTART_MS));
      break;
    case 'crash_all':
      crashAll(cluster, fault.ms);
      break;
    case 'stall':
      node.stalledUntil = until;
      break;
    case 'partition':
      node.refusedUntil = until;
      node.partitionedUntil = until;
      break;
    case 'hand_over':
      node.election?.stepDownFor(fault.ms, 'generated');
      break;
    case 'slow':
      slowAnswers(cluster, fault.ms);
      break;
    case 'delay_transaction':
      node.delayNextTransactionMs = fault.ms;
      break;
  }
}

function struckBy(cluster: Controllers, fault: Fault): Controller {
  const leader = fault.leading ? cluster.leader() : null;
  return leader ?? required(cluster.nodes[fault.who % cluster.nodes.length], 'controller');
}

function crashAll(cluster: Controllers, ms: number): void {
  for (const node of cluster.nodes) {
    cluster.crash(node, cluster.sim.between(20, Math.min(ms, MAX_RESTART_MS) + 20));
  }
}

function slowAnswers(cluster: Controllers, ms: number): void {
  for (const node of cluster.nodes) {
    node.answerMs = cluster.sim.between(200, 2500);
    cluster.sim.after(ms, () => {
      node.answerMs = undefined;
    });
  }
}

/** Users cancel a job every so often, each time at several controllers. */
export function keepCancelling(cluster: Controllers, everyMs: number, untilMs: number): void {
  const { sim } = cluster;
  let count = 0;
  const next = (): void => {
    count += 1;
    const id = `req-${String(count).padStart(6, '0')}`;
    cluster.openJob(id);
    for (const node of cluster.nodes) if (sim.chance(0.7)) cluster.cancel(node, id);
    if (sim.at < untilMs) sim.after(everyMs * sim.between(0.3, 1.7), next);
  };
  sim.after(everyMs, next);
}

/** Whoever leads hands the leadership over, again and again. */
export function keepHandingOver(cluster: Controllers, everyMs: number, untilMs: number): void {
  const next = (): void => {
    cluster.leader()?.election?.stepDownFor(3000, 'hands over');
    if (cluster.sim.at < untilMs) cluster.sim.after(everyMs, next);
  };
  cluster.sim.after(everyMs, next);
}
