/** What the leader knows of one machine: its worker's connectivity, incarnation and lease, its tasks and images. */
import type { Heartbeat } from '../wire/worker.ts';
import type { Attempt } from './attempt.ts';
import { Connectivity, type ConnectivityContext } from './connectivity.ts';
import { createMachineFailures } from './failure-attribution.ts';
import { ImageCache } from './image-cache.ts';

/** The fixed properties of a machine, as its worker reports them and the machine registry stores them. */
export interface MachineIdentity {
  name: string;
  /** Host and port of the machine's worker. */
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
}

/** What the leader knows of a machine when it adds the machine to its state. */
export interface MachineInit {
  /** Dense index among all machines of this leadership. */
  index: number;
  identity: MachineIdentity;
  /** Index of the machine type in the catalog. */
  type: number;
  /** Index of the zone. */
  zone: number;
  /** In milliseconds on the steady clock, as are all times of a machine. */
  now: number;
  /** Upper bound of the time at which any controller last answered a heartbeat of the machine. */
  leaseRenewedBefore: number;
  /** The first fencing token of the leadership. */
  firstToken: number;
}

/** Whether the machine registry holds a machine; `queued`: its write is requested and not durable yet. */
type RegistrationState = 'unregistered' | 'queued' | 'registered';

/** One machine, as known from its worker's messages and the leader's own decisions. Members are grouped by concern. */
export class Machine {
  // ---- identity ----

  readonly index: number;
  readonly identity: MachineIdentity;
  readonly type: number;
  readonly zone: number;

  // ---- connectivity ----

  readonly connectivity = new Connectivity();

  // ---- incarnation and lease ----

  private knownIncarnation = 0;
  private knownSequence = 0;
  private highestFencingToken = 0;
  private tokenInUse: number;
  private highestStartToken = 0;
  private isLeaseExpired = false;
  private reclaimAtMs: number | null = null;
  private renewedBefore: number;

  // ---- registration ----

  private registration: RegistrationState = 'unregistered';
  private isReconciled = false;
  private isTerminating = false;

  // ---- tasks ----

  /** Attempts that may be on the machine or that its worker hasn't forgotten yet, by `attemptKey`. */
  readonly attempts = new Map<string, Attempt>();
  readonly failures = createMachineFailures();
  private idleFrom: number;
  private isCommandInFlight = false;
  private earliestCommandAt = 0;

  // ---- images ----

  readonly images = new ImageCache();

  constructor(init: MachineInit) {
    this.index = init.index;
    this.identity = init.identity;
    this.type = init.type;
    this.zone = init.zone;
    this.idleFrom = init.now;
    this.renewedBefore = init.leaseRenewedBefore;
    this.tokenInUse = init.firstToken;
  }

  get name(): string {
    return this.identity.name;
  }

  // ---- connectivity ----

  /** Assesses by a heartbeat whether messages pass in both directions; to be called before the heartbeat is applied. */
  assessConnectivity(
    heartbeat: Pick<Heartbeat, 'fencingToken' | 'incarnation'>,
    context: ConnectivityContext,
  ): void {
    this.connectivity.assessHeartbeat(this, heartbeat, context);
  }

  // ---- incarnation and lease ----

  /** The worker's incarnation; 0 before its first heartbeat. */
  get incarnation(): number {
    return this.knownIncarnation;
  }

  /** Sequence number of the newest heartbeat that was applied. */
  get sequence(): number {
    return this.knownSequence;
  }

  /** Incarnation and sequence number of the newest message that was applied. */
  get newestMessage(): { incarnation: number; sequence: number } {
    return { incarnation: this.knownIncarnation, sequence: this.knownSequence };
  }

  /** The highest fencing token that the worker has shown. */
  get fencingToken(): number {
    return this.highestFencingToken;
  }

  /** The fencing token of all messages to the worker from now on; never below one that the worker has shown. */
  get commandToken(): number {
    return this.tokenInUse;
  }

  /** A direct command with the start of an attempt carried this token, and was executed or had no answer. */
  noteStartToken(token: number): void {
    this.highestStartToken = Math.max(this.highestStartToken, token);
  }

  /** Whether a message with the present token leaves the worker accepting copies of direct commands with starts. */
  get acceptsStartCopies(): boolean {
    return this.tokenInUse <= this.highestStartToken;
  }

  /** From now on messages to the worker carry a higher token: it refuses whatever was sent before. */
  raiseCommandToken(): void {
    this.tokenInUse += 1;
  }

  /** Whether the lease of the present incarnation has surely expired, so that no heartbeat of it counts any more. */
  get leaseExpired(): boolean {
    return this.isLeaseExpired;
  }

  /** Upper bound of the time at which any controller last renewed the lease by answering a heartbeat. */
  get leaseRenewedBefore(): number {
    return this.renewedBefore;
  }

  /** When the cloud will reclaim the machine, by its interruption notice; null without a notice. */
  get reclaimAt(): number | null {
    return this.reclaimAtMs;
  }

  /** The worker has started a new incarnation, without tasks and images. */
  beginIncarnation(incarnation: number, now: number): void {
    this.knownIncarnation = incarnation;
    this.isLeaseExpired = false;
    // The lease of an incarnation counts from its start at the latest, and the incarnation had started when the worker
    // sent the heartbeat that is being applied. Without this bound, the expiry of the old incarnation's lease would be
    // taken for the expiry of the new one's, and the tasks of the new incarnation for lost.
    this.noteLeaseRenewal(now);
    this.images.clear();
  }

  /** A newer heartbeat arrived; `direct`: as the answer to a direct request. */
  noteHeartbeat(heartbeat: Heartbeat, direct: boolean, now: number): void {
    this.knownSequence = heartbeat.sequence;
    this.highestFencingToken = Math.max(this.highestFencingToken, heartbeat.fencingToken);
    this.tokenInUse = Math.max(this.tokenInUse, heartbeat.fencingToken);
    this.connectivity.noteMessage(direct, now);
    this.reclaimAtMs =
      heartbeat.interruptionNoticeS === null ? null : now + heartbeat.interruptionNoticeS * 1000;
    for (const attempt of this.attempts.values()) {
      attempt.noteTokenSeen(heartbeat.fencingToken);
      // A worker has one heartbeat in flight at a time, so the responses to earlier ones are executed or discarded.
      if (!direct) attempt.noteResponseSettled();
    }
  }

  /** A heartbeat that was answered at `before` or earlier may have renewed the lease. */
  noteLeaseRenewal(before: number): void {
    this.renewedBefore = Math.max(this.renewedBefore, before);
  }

  /** The lease has surely expired, so no task that any leader started is left on the machine. */
  markLeaseExpired(): void {
    this.isLeaseExpired = true;
    this.isReconciled = true;
  }

  // ---- registration ----

  /** Whether the machine registry holds the machine durably; no task may start on the machine before. */
  get registered(): boolean {
    return this.registration === 'registered';
  }

  /** Whether the machine's write to the machine registry is still to be queued. */
  get needsRegistration(): boolean {
    return this.registration === 'unregistered';
  }

  /** The machine's write to the machine registry is queued. */
  markRegistrationQueued(): void {
    this.registration = 'queued';
  }

  /** The machine registry holds the machine durably. */
  markRegistered(): void {
    this.registration = 'registered';
  }

  /** Whether all tasks that an earlier leader may have started on the machine are known. */
  get reconciled(): boolean {
    return this.isReconciled;
  }

  /** The worker has reported all its tasks under this leader's fencing token. */
  markReconciled(): void {
    this.isReconciled = true;
  }

  /** Whether the machine is being returned to the cloud and takes no new tasks. */
  get terminating(): boolean {
    return this.isTerminating;
  }

  /** The termination of the machine is requested, which is never taken back. */
  markTerminating(): void {
    this.isTerminating = true;
  }

  // ---- direct commands ----

  /** Whether a message of direct commands is in flight; there is at most one at a time. */
  get commandInFlight(): boolean {
    return this.isCommandInFlight;
  }

  /** Earliest time of the next message of direct commands. */
  get commandNotBefore(): number {
    return this.earliestCommandAt;
  }

  /** New commands can't wait: ends the pause before the next direct commands. */
  expediteCommand(): void {
    this.earliestCommandAt = 0;
  }

  /** Direct commands are sent. */
  beginCommand(): void {
    this.isCommandInFlight = true;
  }

  /** The direct commands have completed; the next ones may be sent at `notBefore` or later. */
  endCommand(notBefore: number): void {
    this.isCommandInFlight = false;
    this.earliestCommandAt = notBefore;
  }

  // ---- tasks ----

  /** Since when the machine has had no tasks. */
  get idleSince(): number {
    return this.idleFrom;
  }

  /** The last task on the machine has ended. */
  noteIdle(now: number): void {
    this.idleFrom = now;
  }

  /** The attempts that hold resources: those that are not released. */
  liveAttempts(): Attempt[] {
    const found: Attempt[] = [];
    for (const attempt of this.attempts.values()) if (!attempt.released) found.push(attempt);
    return found;
  }

  /** The number of attempts that hold resources. */
  get liveAttemptCount(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) if (!attempt.released) count += 1;
    return count;
  }

  /** Whether the machine's heartbeats must stay unanswered, so that its lease expires. */
  get awaitingLeaseExpiry(): boolean {
    for (const attempt of this.attempts.values()) {
      if (attempt.awaitingLeaseExpiry && !attempt.observed && !attempt.released) return true;
    }
    return false;
  }

  /** Whether the machine holds tasks of jobs that aren't open. */
  get hasUnknownTasks(): boolean {
    for (const attempt of this.attempts.values()) if (!attempt.released && attempt.job === null) return true;
    return false;
  }
}
