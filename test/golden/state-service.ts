/** A state service for tests that works at the level of HTTP requests. */
import type { HttpResult, HttpSender } from '../../src/http/client.ts';
import { KeyValueStore } from '../../src/store/key-value-store.ts';
import { silent } from '../helpers.ts';

/** How the scripted service answers one request: the HTTP status and the body. */
export type ScriptedAnswer = readonly [status: number, body: string];

/** Records every HTTP request as one line of text and answers it from a script. */
export class ScriptedStateService implements HttpSender {
  readonly requests: string[] = [];

  constructor(private readonly script: (request: string) => ScriptedAnswer) {}

  send(method: string, path: string, body: string | null): Promise<HttpResult> {
    const request = body === null ? `${method} ${path}` : `${method} ${path} ${body}`;
    this.requests.push(request);
    const [status, text] = this.script(request);
    return Promise.resolve({ kind: 'answer', status, body: text, retryAfterS: null });
  }

  close(): void {
    // No connections are held.
  }

  /** The requests other than reads, in order. */
  mutatingRequests(): string[] {
    return this.requests.filter((request) => !request.startsWith('GET '));
  }

  createStore(now: () => number): KeyValueStore {
    return new KeyValueStore(() => this, { rps: 10_000, nodes: 1 }, now, silent);
  }
}
