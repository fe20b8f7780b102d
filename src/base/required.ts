/** A rule that this program itself guarantees does not hold: a defect, never the fault of a peer's message. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
  readonly code = 'ERR_INVARIANT';
}

/**
 * Returns a value that is present by construction, where no type can say so, such as the entry of a map under a key
 * that was just read from it. Throws an InvariantError that names `what` is missing.
 */
export function required<T>(value: T, what: string): NonNullable<T> {
  if (value === null || value === undefined) throw new InvariantError(`${what} is missing`);
  return value;
}
