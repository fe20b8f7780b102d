/** Errors as text for the log. */

/** The stack of an error if it has one, else its message; anything else that was thrown, as a string. */
export function errorText(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
