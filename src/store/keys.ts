/** Layout of the key-value store. */

/** The keys in use. Terminal states stay for good; everything else goes with its job or machine. */
export const KEYS = {
  /** Who leads; attached to the leader's lease. */
  leader: 'leader',
  /** The last term that was won. */
  term: 'term',
  /** Changed by every transaction of a leader, see `FencedTransactions`. */
  fence: 'fence',
  /** The machine types as a leader last read them, for nodes that start during an outage of the cloud. */
  catalog: 'catalog',
  /** A job's one record: what was submitted, replaced in place by its terminal state once the job has ended. */
  openPrefix: 'o/',
  open: (id: string) => `o/${id}`,
  /** Where terminal states are moved to later on. A job's record only ever moves from `open` to here. */
  archived: (id: string) => `f/${id}`,
  /** Completion bitmaps of a job's tasks, in chunks. */
  completionsPrefix: 't/',
  completions: (id: string, chunk: number) => `t/${id}/${chunk}`,
  /** Pages of start watermarks, which tell the tasks that may have been started; many jobs to a page. */
  startWatermarksPrefix: 'b/',
  startWatermarks: (page: number) => `b/${page}`,
  /** Pages of the machine registry. */
  machineRegistryPrefix: 'm/',
  machineRegistry: (page: number) => `m/${page}`,
};
