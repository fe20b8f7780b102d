/** Synthetic messages for the warm-up, in their wire format, so that the warm-up also exercises the decoders. */

/** The id of the job whose tasks the synthetic heartbeats report. */
const JOB_ID = 'req-000000';
/** The name of the machine that the synthetic heartbeats come from. */
export const SYNTHETIC_MACHINE = 'n-000000';

const TASKS_PER_HEARTBEAT = 4;
/** The phases that a task goes through from heartbeat to heartbeat. */
const PHASES = ['fetching', 'running', 'saving', 'ended'] as const;

/** The stored record of a job. */
export function syntheticJobRecord(): object {
  return {
    ...{ uid: JOB_ID, batch: 'x', crew: 'x', shape: 'array', rank: 'standard', loaves: 8, cores: 1 },
    ...{ accelerators: 0, memGb: 1, recipe: 'x', imageGb: 1, ovens: null, yard: null, samePlace: false },
    ...{ apart: false, borrowed: false, bakeS: 1, proofS: 0, coolS: 0, dueS: null },
  };
}

/** The text of heartbeat number `sequence`; each task is one phase further than in the previous heartbeat. */
export function syntheticHeartbeat(sequence: number): string {
  const phase = PHASES[sequence % PHASES.length];
  const loaves = Array.from({ length: TASKS_PER_HEARTBEAT }, (_, task) => ({
    loaf: `${JOB_ID}/${task}`,
    try: Math.floor(sequence / PHASES.length),
    stage: phase,
    cause: phase === 'ended' ? 'done' : undefined,
  }));
  return JSON.stringify({
    ...{ hearth: SYNTHETIC_MACHINE, address: 'x:1', oven: 'x', yard: 'x', borrowed: false, shift: 1 },
    ...{ tick: sequence, baton: 1, warningS: null, loaves },
  });
}
