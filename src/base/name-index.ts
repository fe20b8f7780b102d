/** Assigns dense indices to names. Messages hold names; the code between decoding and encoding uses the indices. */
export class NameIndex {
  private readonly indexByName = new Map<string, number>();
  private readonly names: string[] = [];

  constructor(initialNames: readonly string[] = []) {
    for (const name of initialNames) this.getOrAddIndex(name);
  }

  getOrAddIndex(name: string): number {
    let index = this.indexByName.get(name);
    if (index === undefined) {
      index = this.names.length;
      this.indexByName.set(name, index);
      this.names.push(name);
    }
    return index;
  }

  /** The index of a name, or -1 if the name has none. */
  findIndex(name: string): number {
    return this.indexByName.get(name) ?? -1;
  }

  name(index: number): string {
    return this.names[index] ?? '?';
  }
}
