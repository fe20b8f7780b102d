/** The layout of the store. Final states stay for good; everything else goes with its job or machine. */
export const KEYS = {
  leader: 'leader',
  term: 'term',
  fence: 'fence',
  openPrefix: 'o/',
  open: (id: string) => `o/${id}`,
  final: (id: string) => `f/${id}`,
  finishedPrefix: 't/',
  finished: (id: string, chunk: number) => `t/${id}/${chunk}`,
  machinePrefix: 'm/',
  machine: (name: string) => `m/${name}`,
};
