/** What the leader knows of one machine: its worker's connectivity, incarnation and lease, its tasks and images. */
import type { Heartbeat } from '../wire/worker.ts';
import type { Attempt } from './attempt.ts';
import { Connectivity, type ConnectivityContext } from './connectivity.ts';
import { createMachineFailures } from './failure-attribution.ts';
import { ImageCache } from './image-cache.ts';

/** What a machine is, as its worker reports it and the machine registry keeps it. */
export interface MachineIdentity {
  name: string;
  /** Host and port of its worker. */
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
}

/** How a machine enters the leader's state. */
export interface MachineInit {
  /** Dense index among all machines of this leadership. */
  index: number;
  identity: MachineIdentity;
  /** Index of its type in the catalog. */
  type: number;
  /** Index of its zone. */
  zone: number;
  /** Milliseconds on the steady clock, as are all times of a machine. */
  now: number;
  /** Upper bound for when anyone may have answered a heartbeat of it. */
  leaseRenewedBefore: number;
}

/** Whether the machine registry holds a machine; `queued`: its write has been requested and isn't durable yet. */
type RegistrationState = 'unregistered' | 'queued' | 'registered';

/** One machine, as far as its worker's messages and the leader's own decisions tell. Fields are grouped by concern. */
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
  private isLeaseExpired = false;
  private reclaimAtMs: number | null = null;
  private renewedBefore: number;

  // ---- registration ----

  private registration: RegistrationState = 'unregistered';
  private isReconciled = false;
  private isTerminating = false;

  // ---- tasks ----

  /** Attempts that may be on it or that its worker still remembers, by `attemptKey`. */
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
  }

  get name(): string {
    return this.identity.name;
  }

  // ---- connectivity ----

  /** Judges by a heartbeat whether messages pass in both directions; to be called before the heartbeat is applied. */
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

  /** The highest fencing token that the worker has shown. */
  get fencingToken(): number {
    return this.highestFencingToken;
  }

  /** The lease of the present incarnation has surely expired: nothing of it counts any more. */
  get leaseExpired(): boolean {
    return this.isLeaseExpired;
  }

  /** Upper bound for when anyone last answered a heartbeat of it: its lease counts from before that. */
  get leaseRenewedBefore(): number {
    return this.renewedBefore;
  }

  /** When the cloud reclaims the machine, by its interruption notice; null without one. */
  get reclaimAt(): number | null {
    return this.reclaimAtMs;
  }

  /** The worker has started anew: it has no tasks and no images. */
  beginIncarnation(incarnation: number, now: number): void {
    this.knownIncarnation = incarnation;
    this.isLeaseExpired = false;
    // The lease of an incarnation counts from its start at the latest, and it had started when this was sent. Without
    // this, the end of the old one's lease was taken for the end of the new one's, and its tasks for lost.
    this.noteLeaseRenewal(now);
    this.images.clear();
  }

  /** A newer heartbeat arrived; `direct`: as the answer to a direct request. */
  noteHeartbeat(heartbeat: Heartbeat, direct: boolean, now: number): void {
    this.knownSequence = heartbeat.sequence;
    this.highestFencingToken = Math.max(this.highestFencingToken, heartbeat.fencingToken);
    this.connectivity.noteMessage(direct, now);
    this.reclaimAtMs =
      heartbeat.interruptionNoticeS === null ? null : now + heartbeat.interruptionNoticeS * 1000;
    if (direct) return;
    // A worker has one heartbeat in flight: the responses to all earlier ones were carried out or given up.
    for (const attempt of this.attempts.values()) attempt.noteResponseSettled();
  }

  /** Its lease may have been renewed by a heartbeat that was answered up to `before`. */
  noteLeaseRenewal(before: number): void {
    this.renewedBefore = Math.max(this.renewedBefore, before);
  }

  /** The lease has surely expired, so nothing that any leader started is left on it. */
  markLeaseExpired(): void {
    this.isLeaseExpired = true;
    this.isReconciled = true;
  }

  // ---- registration ----

  /** Written to the machine registry: the condition of its first start. */
  get registered(): boolean {
    return this.registration === 'registered';
  }

  /** It is to be written to the machine registry, and nobody has begun to. */
  get needsRegistration(): boolean {
    return this.registration === 'unregistered';
  }

  /** Its write to the machine registry is queued. */
  markRegistrationQueued(): void {
    this.registration = 'queued';
  }

  /** The machine registry holds it durably. */
  markRegistered(): void {
    this.registration = 'registered';
  }

  /** Nothing that an earlier leader started can be on it without being known. */
  get reconciled(): boolean {
    return this.isReconciled;
  }

  /** Its worker has shown all that it holds, under our fencing token. */
  markReconciled(): void {
    this.isReconciled = true;
  }

  /** It is being returned to the cloud and takes no new tasks. */
  get terminating(): boolean {
    return this.isTerminating;
  }

  /** Its termination is requested; that is never taken back. */
  markTerminating(): void {
    this.isTerminating = true;
  }

  // ---- direct commands ----

  /** A direct command is on its way; there is one at a time. */
  get commandInFlight(): boolean {
    return this.isCommandInFlight;
  }

  /** Earliest time of the next direct command. */
  get commandNotBefore(): number {
    return this.earliestCommandAt;
  }

  /** What it is to be told can't wait: no pause is kept before the next direct command. */
  expediteCommand(): void {
    this.earliestCommandAt = 0;
  }

  /** A direct command leaves. */
  beginCommand(): void {
    this.isCommandInFlight = true;
  }

  /** The direct command is settled; the next one may leave at `notBefore`. */
  endCommand(notBefore: number): void {
    this.isCommandInFlight = false;
    this.earliestCommandAt = notBefore;
  }

  // ---- tasks ----

  /** Since when no task has been on it. */
  get idleSince(): number {
    return this.idleFrom;
  }

  /** The last task has left. */
  noteIdle(now: number): void {
    this.idleFrom = now;
  }

  /** Attempts that hold resources. */
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

  /** Its heartbeats are not to be answered, so that its lease expires. */
  get awaitingLeaseExpiry(): boolean {
    for (const attempt of this.attempts.values()) {
      if (attempt.awaitingLeaseExpiry && !attempt.observed && !attempt.released) return true;
    }
    return false;
  }

  /** It holds tasks of jobs that aren't open. */
  get hasUnknownTasks(): boolean {
    for (const attempt of this.attempts.values()) if (!attempt.released && attempt.job === null) return true;
    return false;
  }
}
