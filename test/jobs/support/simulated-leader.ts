/** The real leader and its writer, over a simulated store. */
import { NameIndex } from '../../../src/base/name-index.ts';
import { defaultOptions, type Options } from '../../../src/config/options.ts';
import { Catalog } from '../../../src/fleet/catalog.ts';
import { TerminalWrites } from '../../../src/jobs/terminal-writes.ts';
import type { LeaderDeps } from '../../../src/leader/context.ts';
import { Leader } from '../../../src/leader/leader.ts';
import { RateBudget } from '../../../src/store/budget.ts';
import { KEYS } from '../../../src/store/keys.ts';
import { LeaderWriter } from '../../../src/store/leader-writer.ts';
import type { WatchEvent } from '../../../src/wire/state.ts';
import { SETTINGS } from '../../config/sample.ts';
import { failTest, BIG, silent } from '../../helpers.ts';
import type { Sim } from '../../model/sim.ts';
import type { StateModel } from '../../model/state.ts';
import type { HeldLeadership, SimulatedController } from './simulated-controller.ts';
import type { UnreliableStateService } from './unreliable-state-service.ts';
import { TEAMS } from './user-requests.ts';
import { FencingTokens } from '../../../src/workers/fencing-tokens.ts';

/** What a leader runs on. */
export interface LeaderEnvironment {
  sim: Sim;
  state: StateModel;
  store: UnreliableStateService;
  /** The leader doesn't check for unconfirmed terminal writes and answers from its memory all the same. */
  trustMemory: boolean;
}

type CloudFake = LeaderDeps['cloud'];

const NO_CLOUD: CloudFake = {
  canRequest: () => false,
  catalog: () => Promise.resolve(null),
  rent: () => Promise.resolve({ kind: 'no_capacity' }),
  terminate: () => Promise.resolve(false),
  list: () => Promise.resolve(null),
};

/** Options under which the leader places and rents nothing: the tests report the tasks by heartbeats of their own. */
function optionsWithoutPlacement(): Options {
  const options = defaultOptions();
  options.scheduling.takeover_wait_s = 1e6;
  options.fleet.takeover_rent_s = 1e6;
  return options;
}

/** Starts the leader of a controller that holds the leader key. */
export function startLeader(
  environment: LeaderEnvironment,
  controller: SimulatedController,
  held: HeldLeadership,
): void {
  const { sim, trustMemory } = environment;
  const isSameProcess = controller.createProcessCheck();
  const isCurrent = (): boolean => isSameProcess() && controller.held === held;
  const terminalWrites = new TerminalWrites((id) => leader.isOutcomeUnconfirmed(id));
  const terminalJobs = new Set<string>();
  const leader: Leader = new Leader({
    host: {
      clock: { now: () => sim.at, wall: () => sim.at },
      log: silent,
      hasValidLease: () => isCurrent() && sim.at < held.leaseExpiresAt,
      sendCommands: () => Promise.resolve({ kind: 'notSent' }),
      inspect: () => Promise.resolve({ kind: 'unanswered' }),
      onTerminalState: (id) => {
        terminalJobs.add(id);
        terminalWrites.markDurable(id);
      },
      isTerminal: (id) => terminalJobs.has(id),
      outcomeMayBeWritten: (id) => !trustMemory && terminalWrites.mayBeWritten(id),
      enqueue: (command) => {
        controller.runAfter(0, () => {
          if (isCurrent()) command();
        });
      },
      pause: (ms) => sim.pause(ms),
      onSuperseded: () => undefined,
      onAllWorkersLost: () => undefined,
      directHeartbeatAgeMs: () => 0,
      lagMs: () => 0,
    },
    settings: SETTINGS,
    options: optionsWithoutPlacement(),
    teams: TEAMS,
    zones: new NameIndex(['a', 'b']),
    catalog: new Catalog([BIG]),
    cloud: NO_CLOUD,
    writer: createWriter(environment, controller, held, { terminalWrites, isCurrent }),
    term: held.term,
    tokens: new FencingTokens(held.term, held.term),
    heartbeatGraceMs: 6000,
  });
  controller.leader = leader;
  recover(environment, controller, leader, isCurrent);
}

function createWriter(
  { sim, state, store }: LeaderEnvironment,
  controller: SimulatedController,
  held: HeldLeadership,
  { terminalWrites, isCurrent }: { terminalWrites: TerminalWrites; isCurrent: () => boolean },
): LeaderWriter {
  return new LeaderWriter({
    onError: failTest,
    host: {
      compareAndSwap: terminalWrites.trackResults((conditions, mutations, timeoutMs: number) =>
        store.compareAndSwap(controller, conditions, mutations, timeoutMs),
      ),
      readVersion: async (key) => {
        const read = await store.get(controller, key);
        return read.kind === 'ok' ? { kind: 'ok', value: read.value?.version ?? 0 } : read;
      },
      onLeadershipLost: () => {
        if (isCurrent()) controller.stepDown();
      },
      pause: (ms) => sim.pause(ms),
    },
    leaderVersion: held.version,
    fenceVersion: state.data.get(KEYS.fence)?.version ?? 0,
    limits: { maxMutations: SETTINGS.settings.state.txn_ops, maxBytes: 50_000 },
    budget: new RateBudget(100, () => sim.at),
    log: silent,
  });
}

/** Lists the records, restores them when the answer arrives, and forwards later changes in their order. */
function recover(
  { sim, state }: LeaderEnvironment,
  controller: SimulatedController,
  leader: Leader,
  isCurrent: () => boolean,
): void {
  const changes: WatchEvent[] = [];
  let recovered = false;
  const forwardChanges = (): void => {
    if (recovered && isCurrent() && changes.length > 0) leader.onStoreEvents(changes.splice(0));
  };
  const watch = (events: WatchEvent[]): void => {
    changes.push(...events);
    controller.runAfter(sim.between(1, 300), forwardChanges);
    if (!isCurrent()) state.watchers.delete(watch);
  };
  controller.runAfter(sim.between(1, 20), () => {
    state.watchers.add(watch);
    const stored = {
      open: state.list(KEYS.openPrefix),
      completions: state.list(KEYS.completionsPrefix),
      startWatermarks: state.list(KEYS.startWatermarksPrefix),
      machineRegistry: state.list(KEYS.machineRegistryPrefix),
    };
    controller.runAfter(sim.between(5, 500), () => {
      if (!isCurrent()) return;
      leader.recover(stored);
      recovered = true;
      forwardChanges();
    });
  });
}
