/** Maps names to dense indices at the boundary; inside, everything is an index. */
export class NameIndex {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  constructor(initial: readonly string[] = []) {
    for (const name of initial) this.index(name);
  }

  index(name: string): number {
    let found = this.byName.get(name);
    if (found === undefined) {
      found = this.names.length;
      this.byName.set(name, found);
      this.names.push(name);
    }
    return found;
  }

  /** The index of a name already known, or -1. */
  find(name: string): number {
    return this.byName.get(name) ?? -1;
  }

  name(index: number): string {
    return this.names[index] ?? '?';
  }
}
