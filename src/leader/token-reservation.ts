/** Reserves further fencing tokens for a leadership before its machines have used all that it has. */
import { putTerm } from '../leadership/leader-record.ts';
import { TOKENS_PER_RESERVATION, type FencingTokens } from '../workers/fencing-tokens.ts';
import type { LeaderHost, WriteQueue } from './context.ts';

/** Tokens still unused at which the next ones are reserved. */
const MIN_UNUSED_TOKENS = TOKENS_PER_RESERVATION / 2;

/** What the reservation of tokens needs of its leadership. */
interface TokenReservationDeps {
  readonly tokens: FencingTokens;
  readonly writer: Pick<WriteQueue, 'enqueue'>;
  readonly host: Pick<LeaderHost, 'enqueue' | 'log'>;
}

/**
 * Raises the term record, from which the next leader of any version derives its first token. A token may be used only
 * once the record that exceeds it is durable; the write is fenced, so a copy that is executed late fails.
 */
export class TokenReservation {
  private writing = false;

  constructor(private readonly deps: TokenReservationDeps) {}

  /** A machine uses this token. Reserves more if it is one of the last. */
  noteUsed(token: number): void {
    const { tokens, writer, host } = this.deps;
    if (this.writing || tokens.last - token >= MIN_UNUSED_TOKENS) return;
    this.writing = true;
    const last = tokens.last + TOKENS_PER_RESERVATION;
    const onCommitted = (): void => {
      host.enqueue(() => {
        tokens.extendTo(last);
        host.log.info({ lastToken: last }, 'fencing tokens reserved');
        this.writing = false;
      });
    };
    writer.enqueue({ kind: 'ready', mutations: [putTerm(last)], onCommitted }, 'background');
  }
}
