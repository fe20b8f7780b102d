/** Admission control for new jobs: whether a job can ever run, given its team's quota and the machine types. */
import type { Catalog } from '../fleet/catalog.ts';
import type { JobRequest } from '../wire/user.ts';

/** A team's guaranteed share and its limits, from the settings. */
export interface TeamQuota {
  name: string;
  /** CPUs that are guaranteed to the team. */
  cpus: number;
  /** GPUs that are guaranteed to the team. */
  gpus: number;
  /** Maximum number of CPUs that the team uses at once; 0: no limit. */
  cpusMax: number;
  /** Maximum number of GPUs that the team uses at once; 0: no limit. */
  gpusMax: number;
}

/** Amounts are decimal numbers; a sum of them may exceed its limit by this rounding error. */
const ROUNDING_TOLERANCE = 1e-9;

function exceeds(amount: number, limit: number): boolean {
  return amount > limit + ROUNDING_TOLERANCE;
}

/** Why the job can never run within the team's limits, or null. Depends on the settings alone. */
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

/** Why no machine type can run a task of the job, or null. */
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
 * Why a job can never run, or null: exactly the reasons that PROTOCOL lists for HTTP status 422. The cloud's capacity
 * is not published and changes, so a gang that is too large for the current capacity is accepted and waits. Without
 * a catalog, only the team and its limits are checked.
 */
export function findInfeasibility(
  job: JobRequest,
  team: TeamQuota | undefined,
  catalog: Catalog | null,
): string | null {
  return findTeamInfeasibility(job, team) ?? (catalog ? findMachineInfeasibility(job, catalog) : null);
}
