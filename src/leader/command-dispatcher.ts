/** Direct requests to workers: commands that can't wait for the next heartbeat, and probes of silent machines. */
import { errorText } from '../base/error-text.ts';
import { MIN_BUSY_LAG_MS } from '../base/event-loop-lag.ts';
import type { Command, Heartbeat } from '../wire/worker.ts';
import { attemptKey, type Attempt, type StartDelivery } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';
import { buildCommands, isStartDurable, type MessagePosition } from '../workers/reconcile.ts';
import type { CommandResult, InspectResult } from '../workers/worker-client.ts';
import type { Cluster } from './cluster.ts';
import type { LeaderDeps } from './context.ts';
import { TaskLog } from './task-log.ts';

/**
 * Greatest number of probes in flight: a ratio of all machines, but at least this many. After a failover, or when many
 * machines fail, nearly all are to be probed, and the probes must stay within the sockets for direct requests.
 */
const MIN_CONCURRENT_PROBES = 16;
const CONCURRENT_PROBES_RATIO = 0.01;
/** Greatest number of probes in flight while the event loop lags. */
const MAX_CONCURRENT_PROBES_BUSY = 4;
/** Least time between the answer to a probe of a machine and its next probe. */
const PROBE_PAUSE_MS = 800;
/** Pause before the next commands to a machine that gave no answer. */
const UNANSWERED_PAUSE_MS = 1000;
/** Pause after commands that the worker refused. */
const REFUSED_PAUSE_MS = 50;
/** Pause after commands that the worker executed. */
const EXECUTED_PAUSE_MS = 300;

/** A direct request to a machine's worker, with the newest message of the worker when the request was sent. */
export interface DirectRequest {
  readonly machine: Machine;
  readonly known: MessagePosition;
}

/** Sends direct commands and probes, and keeps account of the machines that don't answer them. */
export class CommandDispatcher {
  private readonly probing = new Set<Machine>();
  /** Machines that left a direct request unanswered since any machine last answered one. */
  private readonly unanswered = new Set<Machine>();
  private answeredAt = -Infinity;
  private readonly taskLog: TaskLog;

  constructor(
    private readonly cluster: Cluster,
    private readonly deps: Pick<LeaderDeps, 'host' | 'tokens'>,
    /** Applies what was answered to a direct request. */
    private readonly onResponse: (heartbeat: Heartbeat, request: DirectRequest) => void,
  ) {
    this.taskLog = new TaskLog(deps.host.log);
  }

  /** Whether new tasks may start on the machine now. */
  canStartOn(machine: Machine): boolean {
    return machine.registered && !machine.terminating && this.deps.host.hasValidLease();
  }

  /** The number of machines that left a direct request unanswered since any machine last answered one. */
  get unansweredCount(): number {
    return this.unanswered.size;
  }

  /** When a worker last answered a direct request, in milliseconds on the steady clock; -Infinity before. */
  get lastAnswerAt(): number {
    return this.answeredAt;
  }

  /** Whether a stop or a start should be sent to the machine. */
  hasDueCommands(machine: Machine): boolean {
    for (const attempt of machine.attempts.values()) {
      if (attempt.released) continue;
      if (attempt.stopDue) return true;
      if (
        attempt.stopGraceS === null &&
        !attempt.observed &&
        isStartDurable(attempt) &&
        this.canStartOn(machine)
      ) {
        return true;
      }
    }
    return false;
  }

  /** Sends what is due. Only machines at which something changed are checked. */
  dispatchDue(): void {
    const now = this.deps.host.clock.now();
    const busy = this.deps.host.lagMs() > MIN_BUSY_LAG_MS;
    for (const machine of this.cluster.commandsDue) {
      if (machine.commandInFlight || now < machine.commandNotBefore) continue;
      if (this.cluster.machines.get(machine.name) !== machine || !this.hasDueCommands(machine)) {
        this.cluster.commandsDue.delete(machine);
        continue;
      }
      if (machine.incarnation === 0 || machine.leaseExpired) continue;
      // Starts can go with the response to the next heartbeat, which costs less.
      if (busy && !hasDueStop(machine)) continue;
      this.dispatch(machine, buildCommands(machine, this.canStartOn(machine)));
    }
  }

  /** Sends commands straight to a machine's worker; without any, the message only shows it its fencing token. */
  dispatch(machine: Machine, commands: Command[]): void {
    machine.beginCommand();
    const started = attemptsStartedBy(machine, commands);
    for (const attempt of started) attempt.noteDirectStartSent();
    const { host } = this.deps;
    const token = machine.commandToken;
    const request = { machine, known: machine.newestMessage };
    this.taskLog.commandsSent(machine, token, commands, 'directCommand');
    const settle = (result: CommandResult): void => {
      host.enqueue(() => {
        for (const attempt of started) attempt.noteDirectStartCompleted(startDelivery(result), token);
        this.taskLog.commandsCompleted(machine, token, result);
        this.onCommandResult(request, result);
      });
    };
    host.sendCommands(machine, token, commands).then(settle, (error: unknown) => {
      this.logFailure(machine, error);
      settle({ kind: 'unanswered' });
    });
  }

  private onCommandResult(request: DirectRequest, result: CommandResult): void {
    const { machine } = request;
    const now = this.deps.host.clock.now();
    if (result.kind !== 'answered') {
      machine.endCommand(now + UNANSWERED_PAUSE_MS);
      machine.connectivity.noteMissedAcknowledgement();
      this.unanswered.add(machine);
      return;
    }
    machine.endCommand(now + (result.executed ? EXECUTED_PAUSE_MS : REFUSED_PAUSE_MS));
    this.noteAnswer(machine, now);
    this.onResponse(result.heartbeat, request);
  }

  /** Asks a worker for its state: its heartbeats may be lost on the way while it lives, or our responses to it. */
  probe(machine: Machine): void {
    if (this.probing.has(machine) || this.probing.size >= this.maxConcurrentProbes()) return;
    if (machine.identity.address === '') return;
    this.probing.add(machine);
    const request = { machine, known: machine.newestMessage };
    const { host } = this.deps;
    const settle = (result: InspectResult): void => {
      this.allowProbeAfterPause(machine);
      host.enqueue(() => {
        this.onProbeResult(request, result);
      });
    };
    host.inspect(machine).then(settle, (error: unknown) => {
      this.logFailure(machine, error);
      settle({ kind: 'unanswered' });
    });
  }

  private maxConcurrentProbes(): number {
    if (this.deps.host.lagMs() > MIN_BUSY_LAG_MS) return MAX_CONCURRENT_PROBES_BUSY;
    const share = Math.floor(this.cluster.machines.size * CONCURRENT_PROBES_RATIO);
    return Math.max(MIN_CONCURRENT_PROBES, share);
  }

  private allowProbeAfterPause(machine: Machine): void {
    const allow = (): void => {
      this.probing.delete(machine);
    };
    this.deps.host.pause(PROBE_PAUSE_MS).then(allow, allow);
  }

  private onProbeResult(request: DirectRequest, result: InspectResult): void {
    const { machine } = request;
    if (result.kind !== 'answered') {
      machine.connectivity.noteFailedProbe();
      this.unanswered.add(machine);
      return;
    }
    this.noteAnswer(machine, this.deps.host.clock.now());
    // A higher token shows that another controller leads by now, so the state of this worker is not applied. The lease,
    // heartbeats and responses to commands end this leadership.
    const { heartbeat } = result;
    if (!this.deps.tokens.isSuperseding(heartbeat.fencingToken)) this.onResponse(heartbeat, request);
  }

  private noteAnswer(machine: Machine, now: number): void {
    machine.connectivity.noteAcknowledgement(now);
    this.unanswered.clear();
    this.answeredAt = now;
  }

  /** A request whose promise rejects shows a defect of this program; it counts as unanswered. */
  private logFailure(machine: Machine, error: unknown): void {
    const fields = { machine: machine.name, error: errorText(error) };
    this.deps.host.log.error(fields, 'direct request failed');
  }
}

/** What became of the starts in a direct command. */
function startDelivery(result: CommandResult): StartDelivery {
  switch (result.kind) {
    case 'answered':
      return result.executed ? 'executed' : 'notExecuted';
    case 'notSent':
      return 'notExecuted';
    case 'unanswered':
      return 'unanswered';
  }
}

/** The machine's attempts that the commands start. */
function attemptsStartedBy(machine: Machine, commands: readonly Command[]): Attempt[] {
  const started: Attempt[] = [];
  for (const command of commands) {
    if (command.op !== 'start') continue;
    const attempt = machine.attempts.get(attemptKey(command.jobId, command.task, command.attempt));
    if (attempt) started.push(attempt);
  }
  return started;
}

function hasDueStop(machine: Machine): boolean {
  for (const attempt of machine.attempts.values()) {
    if (!attempt.released && attempt.stopDue) return true;
  }
  return false;
}
