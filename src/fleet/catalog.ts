import type { MachineTypeInfo } from '../wire/cloud.ts';
import { Intern } from '../core/intern.ts';

/** The machine types that can be rented, by dense index. Types of unexpected machines are unknown (-1). */
export class Catalog {
  readonly names: Intern;

  constructor(readonly types: readonly MachineTypeInfo[]) {
    this.names = new Intern(types.map((t) => t.name));
  }

  typeIndex(name: string): number {
    return this.names.find(name);
  }
}
