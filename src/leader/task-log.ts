/** Log lines from which one task can be followed through the logs of all controllers, by its job, number and attempt. */
import type { Logger } from '../base/log.ts';
import type { Command } from '../wire/worker.ts';
import type { Attempt } from '../workers/attempt.ts';
import type { Machine } from '../workers/machine.ts';
import type { CommandResult } from '../workers/worker-client.ts';

/** How commands reach a worker. */
export type CommandPath = 'directCommand' | 'heartbeatResponse';

/** Lines of one leadership. Those for each command are written at `debug`, the rare ones at `info` and above. */
export class TaskLog {
  constructor(private readonly log: Logger) {}

  /** Commands leave for a worker under this fencing token. */
  commandsSent(machine: Machine, token: number, commands: readonly Command[], path: CommandPath): void {
    if (commands.length === 0 || !this.log.isLevelEnabled('debug')) return;
    for (const { op, jobId, task, attempt } of commands) {
      const target = { op, job: jobId, task, attempt };
      this.log.debug({ ...target, ...describeMachine(machine), token, path }, 'command sent');
    }
  }

  /** Direct commands have completed, which were sent under this fencing token. */
  commandsCompleted(machine: Machine, token: number, result: CommandResult): void {
    if (!this.log.isLevelEnabled('debug')) return;
    const answer =
      result.kind === 'answered'
        ? { executed: result.executed, seenToken: result.heartbeat.fencingToken }
        : {};
    const fields = { ...describeMachine(machine), token, result: result.kind, ...answer };
    this.log.debug(fields, 'direct commands completed');
  }

  /** From now on messages to the machine carry a higher fencing token. */
  tokenRaised(machine: Machine): void {
    const fields = { ...describeMachine(machine), token: machine.commandToken };
    this.log.debug(fields, 'fencing token raised');
  }

  /** A worker reports an attempt that this leadership has not started. */
  attemptFound(attempt: Attempt): void {
    const fields = describeAttempt(attempt);
    // Before its first report under a token of this leadership, a machine may hold whatever earlier leaders started.
    if (attempt.machine.reconciled) this.log.info(fields, 'unexpected attempt found');
    else this.log.debug(fields, 'attempt of an earlier leader found');
  }

  /** Two attempts hold a task, each on its machine; the older one is stopped. */
  taskHeldTwice(older: Attempt, newer: Attempt): void {
    const fields = {
      ...describeAttempt(older),
      newerAttempt: newer.number,
      newerMachine: newer.machine.name,
    };
    this.log.warn(fields, 'task held by two attempts');
  }
}

function describeMachine(machine: Machine): { machine: string; incarnation: number } {
  return { machine: machine.name, incarnation: machine.incarnation };
}

/** The fields that identify an attempt in a log line. */
export function describeAttempt(attempt: Attempt): object {
  return {
    job: attempt.jobId,
    task: attempt.task,
    attempt: attempt.number,
    ...describeMachine(attempt.machine),
    phase: attempt.phase,
  };
}
