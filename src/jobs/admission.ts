import type { JobRequest } from '../wire/user.ts';
import type { Catalog } from '../fleet/catalog.ts';

export interface TeamLimits {
  name: string;
  cpus: number;
  gpus: number;
  cpusMax: number;
  gpusMax: number;
}

/** Why a job can never run, or null. In the team limits 0 means none. */
export function impossible(job: JobRequest, team: TeamLimits | undefined, catalog: Catalog): string | null {
  if (!team) return 'unknown team';
  const tasks = job.gang ? job.tasks : 1;
  if (team.cpusMax > 0 && job.cpus * tasks > team.cpusMax + 1e-9) return "over the team's limit of CPUs";
  if (team.gpusMax > 0 && job.gpus * tasks > team.gpusMax + 1e-9) return "over the team's limit of GPUs";
  const fits = catalog.types.some(
    (type) =>
      (job.types === null || job.types.includes(type.name)) &&
      (job.zone === null || type.zones.includes(job.zone)) &&
      job.cpus <= type.cpus + 1e-9 &&
      job.gpus <= type.gpus + 1e-9 &&
      job.memory <= type.memory + 1e-9,
  );
  return fits ? null : 'a task fits no allowed machine type';
}
