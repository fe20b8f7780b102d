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
  archived: (id: string) => `f/${id}`,
  completionsPrefix: 't/',
  completions: (id: string, chunk: number) => `t/${id}/${chunk}`,
  /** Pages that say which tasks may have been started, many jobs to a page. */
  startWatermarksPrefix: 'b/',
  startWatermarks: (page: number) => `b/${page}`,
  machineRegistryPrefix: 'm/',
  machineRegistry: (page: number) => `m/${page}`,
};
