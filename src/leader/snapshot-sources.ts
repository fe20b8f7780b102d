/** What the inputs of a scheduling round are created from. */
import type { Clock } from '../base/clock.ts';
import type { NameIndex } from '../base/name-index.ts';
import type { Options } from '../config/options.ts';
import type { Settings } from '../config/settings.ts';
import type { Catalog } from '../fleet/catalog.ts';
import type { MachineProvisioner } from '../fleet/machine-provisioner.ts';
import type { TeamQuota } from '../jobs/admission.ts';
import type { ArrivalForecast } from '../scheduling/forecast.ts';
import type { Cluster } from './cluster.ts';
import type { FencingTokens } from '../workers/fencing-tokens.ts';

/** The parts of a leadership that the inputs of a round are created from. */
export interface SnapshotSources {
  readonly cluster: Cluster;
  readonly provisioner: MachineProvisioner;
  readonly forecast: ArrivalForecast;
  readonly latencySensitiveImages: ReadonlySet<string>;
}

/** What the creation of these inputs needs besides: clock, settings and names. */
export interface SnapshotDeps {
  host: { clock: Clock };
  settings: Settings;
  options: Options;
  teams: readonly TeamQuota[];
  zones: NameIndex;
  catalog: Catalog;
  tokens: FencingTokens;
}

/** Expected remaining run time of a task that exceeds its estimate, as a ratio of the time that it has run. */
export const OVERRUN_REMAINING_RATIO = 0.3;
