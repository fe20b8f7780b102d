/** Past arrivals of jobs: the forecast of further ones, and the images of latency-sensitive classes. */
import type { Settings } from '../config/settings.ts';
import { ArrivalForecast } from '../scheduling/forecast.ts';
import type { JobRequest } from '../wire/user.ts';

const MAX_LATENCY_SENSITIVE_IMAGES = 64;

/** The arrivals of jobs that this leadership knows of, including those that earlier leaders accepted. */
export class Arrivals {
  readonly forecast: ArrivalForecast;
  private readonly recentImages = new Set<string>();

  constructor(settings: Settings['settings']) {
    this.forecast = new ArrivalForecast(latencySensitiveClasses(settings));
  }

  /** The images used lately by latency-sensitive classes, the oldest first. The set stays the same object. */
  get latencySensitiveImages(): ReadonlySet<string> {
    return this.recentImages;
  }

  /** Records a job; `createdAtWallMs` is when its user was answered, in wall-clock milliseconds. */
  record(job: JobRequest, createdAtWallMs: number): void {
    this.forecast.record(job, createdAtWallMs);
    if (this.forecast.isWatched(job.className)) this.recordImage(job.image);
  }

  private recordImage(image: string): void {
    this.recentImages.delete(image);
    this.recentImages.add(image);
    const oldest = this.recentImages.values().next();
    if (this.recentImages.size > MAX_LATENCY_SENSITIVE_IMAGES && !oldest.done)
      this.recentImages.delete(oldest.value);
  }
}

/** The classes with a service-level objective on how long tasks wait to be started. */
function latencySensitiveClasses(settings: Settings['settings']): Set<string> {
  const classes = settings.objectives.flatMap((objective) =>
    objective.kind === 'wait' && objective.class ? [objective.class] : [],
  );
  return new Set(classes);
}
