import type { JobRequest } from '../wire/user.ts';
import type { Catalog } from '../fleet/catalog.ts';

/** A team's guarantee and limits, from the settings. */
export interface TeamQuota {
  name: string;
  cpus: number;
  gpus: number;
  /** 0: no limit. */
  cpusMax: number;
  /** 0: no limit. */
  gpusMax: number;
}

/** Amounts are decimal numbers; sums of them may be off by this much. */
const ROUNDING = 1e-9;

/** Why the job's team can never run it, or null. Needs nothing but the settings. */
export function infeasibleForTeam(job: JobRequest, team: TeamQuota | undefined): string | null {
  if (!team) return 'unknown team';
  const tasks = job.gang ? job.tasks : 1;
  if (team.cpusMax > 0 && job.cpus * tasks > team.cpusMax + ROUNDING) return "over the team's limit of CPUs";
  if (team.gpusMax > 0 && job.gpus * tasks > team.gpusMax + ROUNDING) return "over the team's limit of GPUs";
  return null;
}

/** Why no machine can ever run a task of the job, or null. */
export function infeasibleOnMachines(job: JobRequest, catalog: Catalog): string | null {
  const fits = catalog.types.some(
    (type) =>
      (job.types === null || job.types.includes(type.name)) &&
      (job.zone === null || type.zones.includes(job.zone)) &&
      job.cpus <= type.cpus + ROUNDING &&
      job.gpus <= type.gpus + ROUNDING &&
      job.memory <= type.memory + ROUNDING,
  );
  return fits ? null : 'a task fits no allowed machine type';
}

/**
 * Why a job can never run, or null: exactly the reasons that PROTOCOL lists for 422. Capacity is not published and
 * changes, so a gang that is too large for today's machines is accepted and waits. Without a catalog only the
 * team's reasons can be told.
 */
export function infeasibility(
  job: JobRequest,
  team: TeamQuota | undefined,
  catalog: Catalog | null,
): string | null {
  return infeasibleForTeam(job, team) ?? (catalog ? infeasibleOnMachines(job, catalog) : null);
}
