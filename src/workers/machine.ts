import type { Job } from '../jobs/job.ts';
import type { ExitReason, TaskPhase } from '../wire/worker.ts';
import { newMachineFailures } from './failure-attribution.ts';

/** One start of a task on a machine, from the decision until the machine has forgotten it. */
export interface Attempt {
  readonly jobId: string;
  readonly task: number;
  readonly number: number;
  readonly machine: Machine;
  /** null: a task of a job that isn't open, left over from before. */
  readonly job: Job | null;
  phase: 'launching' | TaskPhase;
  /** The worker has reported it in this session. */
  observed: boolean;
  /** It no longer counts: ended, or surely gone. */
  released: boolean;
  exitReason: ExitReason | null;
  /** Grace of the stop that was decided, or null. */
  stopGraceS: number | null;
  /** Direct launches that had no answer: they may be executed as long as the session lasts. */
  inDoubt: boolean;
  /** Direct launches on their way. */
  inFlight: number;
  /** The answer to the worker's last report carried a launch, and may still be on its way. */
  startInResponse: boolean;
  /** When the watch first saw that it may still start though its job is cancelled, or null. */
  unwantedSince: number | null;
  /** Only the end of the session keeps it from starting too late. */
  awaitingLeaseExpiry: boolean;
  assignedAt: number;
  runningSince: number | null;
}

export interface MachineIdentity {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
}

/** What the leader knows of one machine, from its worker's reports. */
export class Machine {
  incarnation = 0;
  sequence = 0;
  fencingToken = 0;
  /** When a report (or the answer to an order) last arrived; -Infinity before. */
  lastMessageAt = -Infinity;
  /** When a newer report of its own last arrived: only such reports renew its lease. */
  lastHeartbeatAt = -Infinity;
  /** Upper bound for when anyone last answered a report of it: its lease counts from before that. */
  leaseRenewedBefore: number;
  /** When the cloud takes the machine away. */
  reclaimedAt: number | null = null;
  /** The lease of the session known here has surely run out: nothing of it counts any more. */
  leaseExpired = false;
  readonly attempts = new Map<string, Attempt>();
  /** Written to the roster: the condition of its first launch. */
  registered = false;
  registrationQueued = false;
  /** Nothing that an earlier leader started can be on it without being known. */
  reconciled = false;
  terminating = false;
  idleSince: number;
  readonly failures = newMachineFailures();
  readonly firstSeenAt: number;
  /** Direct questions in a row without an answer. */
  probesFailed = 0;
  /** Signs in a row that it doesn't hear us: orders without an answer, a session that ended without cause. */
  missedAcknowledgements = 0;
  /** The last sign that it both speaks and hears. */
  lastRoundTripAt = -Infinity;
  /** When it first reported a token older than ours, though it had been answered. */
  private behindSince: number | null = null;
  commandInFlight = false;
  commandNotBefore = 0;
  /** Images it has or fetches, with the time at which each is expected to be there. */
  readonly images = new Map<string, number>();
  /** When all fetches under way are expected to be over. */
  fetchingUntil = -Infinity;

  constructor(
    readonly index: number,
    readonly id: MachineIdentity,
    readonly type: number,
    readonly zone: number,
    now: number,
    answeredBefore: number,
  ) {
    this.firstSeenAt = now;
    this.idleSince = now;
    this.leaseRenewedBefore = answeredBefore;
  }

  get name(): string {
    return this.id.name;
  }

  /** It answered an order or a question, so the way is open in both directions. */
  acknowledged(now: number): void {
    this.missedAcknowledgements = 0;
    this.probesFailed = 0;
    this.lastRoundTripAt = now;
  }

  /**
   * Being heard is no proof that it hears. A report of its own counts as contact only while nothing says that
   * answers and orders don't reach it; a machine that reports and hears nothing once kept its tasks waiting for
   * starts that never came. To be called before the report is taken in.
   */
  noteContact(
    heartbeat: { fencingToken: number; incarnation: number },
    direct: boolean,
    term: number,
    now: number,
    times: { leaseMs: number; reportMs: number },
  ): void {
    if (direct) return;
    // Sessions end when answers stay away for a lease. Ours were sent: they didn't arrive, or it hung that long.
    const answered = now - this.leaseRenewedBefore < times.leaseMs;
    if (this.incarnation > 0 && heartbeat.incarnation > this.incarnation && answered)
      this.missedAcknowledgements += 1;
    if (heartbeat.fencingToken === term) {
      // The first report with our token shows that an answer arrived.
      if (this.fencingToken !== term) this.missedAcknowledgements = 0;
      if (this.missedAcknowledgements === 0) this.lastRoundTripAt = now;
      return;
    }
    this.behindSince ??= now;
    if (now - this.behindSince < 2 * times.reportMs) this.lastRoundTripAt = now;
  }

  /** Tasks that take room. */
  live(): Attempt[] {
    const found: Attempt[] = [];
    for (const a of this.attempts.values()) if (!a.released) found.push(a);
    return found;
  }

  get liveCount(): number {
    let count = 0;
    for (const a of this.attempts.values()) if (!a.released) count += 1;
    return count;
  }

  /** Its reports are not to be answered, so that its session ends. */
  get awaitingLeaseExpiry(): boolean {
    for (const a of this.attempts.values())
      if (a.awaitingLeaseExpiry && !a.observed && !a.released) return true;
    return false;
  }

  get hasUnknownTasks(): boolean {
    for (const a of this.attempts.values()) if (!a.released && a.job === null) return true;
    return false;
  }
}

export function attemptKey(jobId: string, task: number, number: number): string {
  return `${jobId}/${task}#${number}`;
}

/** An attempt of which nothing is known yet but where it belongs. */
export function newAttempt(
  machine: Machine,
  job: Job | null,
  jobId: string,
  task: number,
  number: number,
  now: number,
): Attempt {
  return {
    jobId,
    task,
    number,
    machine,
    job,
    phase: 'launching',
    observed: false,
    released: false,
    exitReason: null,
    stopGraceS: null,
    inDoubt: false,
    inFlight: 0,
    startInResponse: false,
    unwantedSince: null,
    awaitingLeaseExpiry: false,
    assignedAt: now,
    runningSince: null,
  };
}
