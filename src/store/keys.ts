/** Layout of the key-value store. */

/** The keys in use. Terminal states are kept forever; all other records of a job or machine are deleted with it. */
export const KEYS = {
  /** The current leader; attached to the leader's lease. */
  leader: 'leader',
  /** The last term that was won. */
  term: 'term',
  /** Changed by every transaction of a leader; see `FencedTransactions`. */
  fence: 'fence',
  /** The machine types as last read by a leader, for controllers that start during an outage of the cloud. */
  catalog: 'catalog',
  /** The record of a job: its submission, replaced by its terminal state once the job has ended. */
  openPrefix: 'o/',
  open: (id: string) => `o/${id}`,
  /** Archived terminal states. A job's record is moved from `open` to here and never back. */
  archived: (id: string) => `f/${id}`,
  /** Completion bitmaps of a job's tasks, in chunks. */
  completionsPrefix: 't/',
  completions: (id: string, chunk: number) => `t/${id}/${chunk}`,
  /** Pages of start watermarks, which bound the tasks of a job that may have been started; many jobs per page. */
  startWatermarksPrefix: 'b/',
  startWatermarks: (page: number) => `b/${page}`,
  /** Pages of the machine registry. */
  machineRegistryPrefix: 'm/',
  machineRegistry: (page: number) => `m/${page}`,
};
