/** Faults and load of the generated scenarios of the election tests. */
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import type { Controller, SimulatedCluster } from './simulated-cluster.ts';

/** Kinds of faults; `hand_over` is the planned one, in which the leader steps down for some time. */
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

/** A fault that is injected at `at` in simulated time. */
export interface Fault {
  at: number;
  kind: FaultKind;
  /** Index of the affected controller, unless the fault affects the leader. */
  target: number;
  targetsLeader: boolean;
  durationMs: number;
}

/** A crashed controller restarts after this time at most. */
const MAX_RESTART_MS = 6000;

// Either a fraction of a second or many seconds.
const arbitraryDurationMs = fc.oneof(
  fc.integer({ min: 20, max: 400 }),
  fc.integer({ min: 400, max: 20_000 }),
);

/** Generates lists of faults of the given kinds, with bounds for their times and their number. */
export function arbitraryFaults(
  kinds: FaultKind[],
  time: { from: number; to: number },
  length: { min: number; max: number },
): fc.Arbitrary<Fault[]> {
  return fc.array(
    fc.record({
      at: fc.integer({ min: time.from, max: time.to }),
      kind: fc.constantFrom(...kinds),
      target: fc.nat(4),
      targetsLeader: fc.boolean(),
      durationMs: arbitraryDurationMs,
    }),
    { minLength: length.min, maxLength: length.max },
  );
}

/** Schedules the injection of each fault at its time. */
export function scheduleFaults(cluster: SimulatedCluster, faults: readonly Fault[]): void {
  for (const fault of faults) {
    cluster.sim.after(fault.at, () => {
      injectFault(cluster, fault);
    });
  }
}

function injectFault(cluster: SimulatedCluster, fault: Fault): void {
  const controller = selectTarget(cluster, fault);
  const until = cluster.sim.at + fault.durationMs;
  switch (fault.kind) {
    case 'outage':
      cluster.store.startOutage(fault.durationMs);
      break;
    case 'refuse':
      controller.refusedUntil = until;
      break;
    case 'crash':
      cluster.crash(controller, Math.min(fault.durationMs, MAX_RESTART_MS));
      break;
    case 'crash_all':
      crashAll(cluster, fault.durationMs);
      break;
    case 'stall':
      controller.stalledUntil = until;
      break;
    case 'partition':
      controller.refusedUntil = until;
      controller.partitionedUntil = until;
      break;
    case 'hand_over':
      controller.election?.stepDownFor(fault.durationMs, 'generated');
      break;
    case 'slow':
      slowAnswers(cluster, fault.durationMs);
      break;
    case 'delay_transaction':
      controller.delayNextTransactionMs = fault.durationMs;
      break;
  }
}

function selectTarget(cluster: SimulatedCluster, fault: Fault): Controller {
  const leader = fault.targetsLeader ? cluster.leader() : null;
  return leader ?? required(cluster.controllers[fault.target % cluster.controllers.length], 'controller');
}

function crashAll(cluster: SimulatedCluster, maxRestartMs: number): void {
  for (const controller of cluster.controllers) {
    cluster.crash(controller, cluster.sim.between(20, Math.min(maxRestartMs, MAX_RESTART_MS) + 20));
  }
}

function slowAnswers(cluster: SimulatedCluster, durationMs: number): void {
  for (const controller of cluster.controllers) {
    controller.answerDelayMs = cluster.sim.between(200, 2500);
    cluster.sim.after(durationMs, () => {
      controller.answerDelayMs = undefined;
    });
  }
}

/** Cancels a new job about every `everyMs`, each time at several controllers. */
export function keepCancelling(cluster: SimulatedCluster, everyMs: number, untilMs: number): void {
  const { sim } = cluster;
  let count = 0;
  const next = (): void => {
    count += 1;
    const id = `req-${String(count).padStart(6, '0')}`;
    cluster.openJob(id);
    for (const controller of cluster.controllers) if (sim.chance(0.7)) cluster.cancel(controller, id);
    if (sim.at < untilMs) sim.after(everyMs * sim.between(0.3, 1.7), next);
  };
  sim.after(everyMs, next);
}

/** Lets the current leader step down every `everyMs`. */
export function keepHandingOver(cluster: SimulatedCluster, everyMs: number, untilMs: number): void {
  const next = (): void => {
    cluster.leader()?.election?.stepDownFor(3000, 'hands over');
    if (cluster.sim.at < untilMs) cluster.sim.after(everyMs, next);
  };
  cluster.sim.after(everyMs, next);
}
