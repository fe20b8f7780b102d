/** The layout of the store. Final states stay for good; everything else goes with its job or machine. */
export const KEYS = {
  leader: 'leader',
  term: 'term',
  fence: 'fence',
  /** The machine types as a leader last read them, for nodes that start while the cloud is in trouble. */
  catalog: 'catalog',
  /** A job's one record: what was submitted, replaced in place by its final state once the job is over. */
  openPrefix: 'o/',
  open: (id: string) => `o/${id}`,
  /** Where final states are moved to later on. A job's record only ever moves from `open` to here. */
  final: (id: string) => `f/${id}`,
  finishedPrefix: 't/',
  finished: (id: string, chunk: number) => `t/${id}/${chunk}`,
  /** Pages that say which tasks may have been started, many jobs to a page. */
  begunPrefix: 'b/',
  begun: (page: number) => `b/${page}`,
  machinePrefix: 'm/',
  machine: (page: number) => `m/${page}`,
};
