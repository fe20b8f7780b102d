import type { Job } from '../jobs/job.ts';
import type { Cause, TaskPhase } from '../wire/worker.ts';
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
  seen: boolean;
  /** It no longer counts: ended, or surely gone. */
  released: boolean;
  cause: Cause | null;
  /** Grace of the stop that was decided, or null. */
  stopGraceS: number | null;
  /** Direct launches that had no answer: they may be executed as long as the session lasts. */
  doubt: boolean;
  /** Direct launches on their way. */
  underWay: number;
  /** The answer to the worker's last report carried a launch, and may still be on its way. */
  inAnswer: boolean;
  /** When the watch first saw that it may still start though its job is cancelled, or null. */
  unwantedSince: number | null;
  /** Only the end of the session keeps it from starting too late. */
  endWithLease: boolean;
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
  session = 0;
  seq = 0;
  token = 0;
  /** When a report (or the answer to an order) last arrived; -Infinity before. */
  heardAt = -Infinity;
  /** When a newer report of its own last arrived: only such reports renew its lease. */
  reportedAt = -Infinity;
  /** Upper bound for when anyone last answered a report of it: its lease counts from before that. */
  answeredAt: number;
  /** When the cloud takes the machine away. */
  takenAt: number | null = null;
  /** The lease of the session known here has surely run out: nothing of it counts any more. */
  sessionOver = false;
  readonly attempts = new Map<string, Attempt>();
  /** Written to the roster: the condition of its first launch. */
  rostered = false;
  rosterQueued = false;
  /** Nothing that an earlier leader started can be on it without being known. */
  accounted = false;
  returning = false;
  idleSince: number;
  readonly failures = newMachineFailures();
  readonly firstSeenAt: number;
  /** Direct questions in a row without an answer. */
  probesFailed = 0;
  /** Signs in a row that it doesn't hear us: orders without an answer, a session that ended without cause. */
  unheard = 0;
  /** The last sign that it both speaks and hears. */
  contactAt = -Infinity;
  /** When it first reported a token older than ours, though it had been answered. */
  private behindSince: number | null = null;
  pushing = false;
  pushAfter = 0;
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
    this.answeredAt = answeredBefore;
  }

  get name(): string {
    return this.id.name;
  }

  /** It answered an order or a question, so the way is open in both directions. */
  heardUs(now: number): void {
    this.unheard = 0;
    this.probesFailed = 0;
    this.contactAt = now;
  }

  /**
   * Being heard is no proof that it hears. A report of its own counts as contact only while nothing says that
   * answers and orders don't reach it; a machine that reports and hears nothing once kept its tasks waiting for
   * starts that never came. To be called before the report is taken in.
   */
  noteContact(
    report: { token: number; session: number },
    direct: boolean,
    term: number,
    now: number,
    times: { leaseMs: number; reportMs: number },
  ): void {
    if (direct) return;
    // Sessions end when answers stay away for a lease. Ours were sent: they didn't arrive, or it hung that long.
    const answered = now - this.answeredAt < times.leaseMs;
    if (this.session > 0 && report.session > this.session && answered) this.unheard += 1;
    if (report.token === term) {
      // The first report with our token shows that an answer arrived.
      if (this.token !== term) this.unheard = 0;
      if (this.unheard === 0) this.contactAt = now;
      return;
    }
    this.behindSince ??= now;
    if (now - this.behindSince < 2 * times.reportMs) this.contactAt = now;
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
  get lapsing(): boolean {
    for (const a of this.attempts.values()) if (a.endWithLease && !a.seen && !a.released) return true;
    return false;
  }

  get hasForeign(): boolean {
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
    seen: false,
    released: false,
    cause: null,
    stopGraceS: null,
    doubt: false,
    underWay: 0,
    inAnswer: false,
    unwantedSince: null,
    endWithLease: false,
    assignedAt: now,
    runningSince: null,
  };
}
