/** Shared parts of the codecs: field types, and decoders that return a failure as a result. */
import * as z from 'zod/mini';

/** Longer reasons are truncated to this length. */
const MAX_REASON_LENGTH = 200;

/** An amount of something, such as cores, GB or seconds: a number of at least 0. */
export const amount = z.number().check(z.minimum(0));
/** A count, revision or numeric id. On the wire they may reach 2^64; those past 2^53 are rejected, never rounded. */
export const count = z.int().check(z.minimum(0));
/** A field that may be absent or null. */
export const orNull = <T>(type: z.ZodMiniType<T>) => z.nullish(type);

/**
 * A decoded message, or a one-line reason why it is malformed. Malformed messages are expected, so they throw no error.
 */
export type Decoded<T> = { ok: true; value: T } | { ok: false; reason: string };

/** Decodes JSON text; a failure carries a one-line reason. */
export function decodeText<T>(type: z.ZodMiniType<T>, text: string): Decoded<T> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return { ok: false, reason: 'body is not JSON' };
  }
  return decodeValue(type, raw);
}

/** Decodes a parsed JSON object; a failure names the first invalid field, in at most 200 characters. */
export function decodeValue<T>(type: z.ZodMiniType<T>, raw: unknown): Decoded<T> {
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) {
    return { ok: false, reason: 'body is not an object' };
  }
  const result = type.safeParse(raw);
  if (result.success) return { ok: true, value: result.data };
  const issue = result.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  return { ok: false, reason: `field ${field}: ${issue?.message ?? 'invalid'}`.slice(0, MAX_REASON_LENGTH) };
}
