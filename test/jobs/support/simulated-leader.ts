/** The real leader and its writer, over a simulated state service. */
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

/** What a leader runs on. */
export interface LeaderEnvironment {
  sim: Sim;
  state: StateModel;
  store: UnreliableStateService;
  /** Takes the guard away: the leader tells its memory even of a job whose terminal state is being written. */
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

/** Nothing is placed here: the tests' own machine runs what is to be done. */
function optionsWithoutPlacement(): Options {
  const options = defaultOptions();
  options.scheduling.takeover_wait_s = 1e6;
  options.fleet.takeover_rent_s = 1e6;
  return options;
}

/** Lets a controller lead with the leadership that it holds. */
export function startLeader(
  environment: LeaderEnvironment,
  controller: SimulatedController,
  held: HeldLeadership,
): void {
  const { sim, trustMemory } = environment;
  const isSameProcess = controller.sameProcess();
  const isCurrent = (): boolean => isSameProcess() && controller.held === held;
  const terminalWrites = new TerminalWrites((id) => leader.isOutcomeUnconfirmed(id));
  const terminalJobs = new Set<string>();
  const leader: Leader = new Leader({
    host: {
      clock: { now: () => sim.at, wall: () => sim.at },
      log: silent,
      hasValidLease: () => isCurrent() && sim.at < held.leaseValidUntil,
      sendCommands: () => Promise.resolve({ kind: 'notSent' }),
      inspect: () => Promise.resolve({ kind: 'unanswered' }),
      onTerminalState: (id) => {
        terminalJobs.add(id);
        terminalWrites.forget(id);
      },
      isTerminal: (id) => terminalJobs.has(id),
      outcomeMayBeWritten: (id) => !trustMemory && terminalWrites.mayBeWritten(id),
      enqueue: (command) => {
        controller.deliver(0, () => {
          if (isCurrent()) command();
        });
      },
      pause: (ms) => sim.pause(ms),
      superseded: () => undefined,
      lostAllWorkers: () => undefined,
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
      compareAndSwap: terminalWrites.tracking((conditions, mutations, timeoutMs: number) =>
        store.compareAndSwap(controller, conditions, mutations, timeoutMs),
      ),
      readVersion: async (key) => {
        const read = await store.get(controller, key);
        return read.kind === 'ok' ? { kind: 'ok', value: read.value?.version ?? 0 } : read;
      },
      lost: () => {
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

/** The records are listed, and restored when the answer is there; later changes are passed on in their order. */
function recover(
  { sim, state }: LeaderEnvironment,
  controller: SimulatedController,
  leader: Leader,
  isCurrent: () => boolean,
): void {
  const changes: WatchEvent[] = [];
  let recovered = false;
  const passOn = (): void => {
    if (recovered && isCurrent() && changes.length > 0) leader.onStoreEvents(changes.splice(0));
  };
  const watch = (events: WatchEvent[]): void => {
    changes.push(...events);
    controller.deliver(sim.between(1, 300), passOn);
    if (!isCurrent()) state.watchers.delete(watch);
  };
  controller.deliver(sim.between(1, 20), () => {
    state.watchers.add(watch);
    const stored = {
      open: state.list(KEYS.openPrefix),
      completions: state.list(KEYS.completionsPrefix),
      startWatermarks: state.list(KEYS.startWatermarksPrefix),
      machineRegistry: state.list(KEYS.machineRegistryPrefix),
    };
    controller.deliver(sim.between(5, 500), () => {
      if (!isCurrent()) return;
      leader.recover(stored);
      recovered = true;
      passOn();
    });
  });
}
