/** Admission of new jobs: whether a job can ever run, by its team's quota and the machine types. */
import type { Catalog } from '../fleet/catalog.ts';
import type { JobRequest } from '../wire/user.ts';

/** A team's fair share and limits, from the settings. */
export interface TeamQuota {
  name: string;
  /** CPUs that are guaranteed to the team. */
  cpus: number;
  /** GPUs that are guaranteed to the team. */
  gpus: number;
  /** Most CPUs of the team at once; 0: no limit. */
  cpusMax: number;
  /** Most GPUs of the team at once; 0: no limit. */
  gpusMax: number;
}

/** Amounts are decimal numbers; sums of them may be off by this much. */
const MAX_ROUNDING_ERROR = 1e-9;

function exceeds(amount: number, limit: number): boolean {
  return amount > limit + MAX_ROUNDING_ERROR;
}

/** Why the job's team can never run it, or null. Needs nothing but the settings. */
function findTeamInfeasibility(job: JobRequest, team: TeamQuota | undefined): string | null {
  if (!team) return 'unknown team';
  // All tasks of a gang run at once; those of an array may run one after the other.
  const concurrentTasks = job.gang ? job.tasks : 1;
  if (team.cpusMax > 0 && exceeds(job.cpus * concurrentTasks, team.cpusMax)) {
    return "over the team's limit of CPUs";
  }
  if (team.gpusMax > 0 && exceeds(job.gpus * concurrentTasks, team.gpusMax)) {
    return "over the team's limit of GPUs";
  }
  return null;
}

/** Why no machine can ever run a task of the job, or null. */
function findMachineInfeasibility(job: JobRequest, catalog: Catalog): string | null {
  const fits = catalog.types.some(
    (type) =>
      (job.types === null || job.types.includes(type.name)) &&
      (job.zone === null || type.zones.includes(job.zone)) &&
      !exceeds(job.cpus, type.cpus) &&
      !exceeds(job.gpus, type.gpus) &&
      !exceeds(job.memory, type.memory),
  );
  return fits ? null : 'a task fits no allowed machine type';
}

/**
 * Why a job can never run, or null: exactly the reasons that PROTOCOL lists for 422. Capacity is not published and
 * changes, so a gang that is too large for today's machines is accepted and waits. Without a catalog only the
 * team's reasons can be told.
 */
export function findInfeasibility(
  job: JobRequest,
  team: TeamQuota | undefined,
  catalog: Catalog | null,
): string | null {
  return findTeamInfeasibility(job, team) ?? (catalog ? findMachineInfeasibility(job, catalog) : null);
}
