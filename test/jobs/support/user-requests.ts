/** The handling of user requests over fakes, and functions that send requests to it. */
import { defaultOptions } from '../../../src/config/options.ts';
import { Catalog } from '../../../src/fleet/catalog.ts';
import type { HttpResponse, Reply } from '../../../src/http/server.ts';
import type { TeamQuota } from '../../../src/jobs/admission.ts';
import { TerminalStateCache } from '../../../src/jobs/terminal-state-cache.ts';
import type { UserRequestDeps } from '../../../src/jobs/user-request-deps.ts';
import { UserRequests } from '../../../src/jobs/user-requests.ts';
import { RateBudget } from '../../../src/store/budget.ts';
import type { StoreResult } from '../../../src/store/key-value-store.ts';
import type { Item } from '../../../src/wire/state.ts';
import { failTest, BIG, FakeClock } from '../../helpers.ts';
import { JOB } from '../../wire/sample.ts';

export type StoreFake = UserRequestDeps['store'];

/** The team of the sample job. */
export const TEAMS: readonly TeamQuota[] = [{ name: 'vision', cpus: 0, gpus: 8, cpusMax: 0, gpusMax: 1000 }];

/** Machine types that the sample job fits. */
export const SAMPLE_CATALOG = new Catalog([{ ...BIG, name: 'g8', cpus: 96, gpus: 8, memory: 768 }]);

export function jobId(number: number): string {
  return `req-${String(number).padStart(6, '0')}`;
}

/** The sample job under another id, as a user submits it. */
export function sampleSubmission(id: string): string {
  return JSON.stringify({ ...JOB, uid: id });
}

/** A follower that knows of no leader and reaches no other controller, unless `overrides` replace these parts. */
export function createUserRequests(
  store: StoreFake,
  overrides: Partial<Omit<UserRequestDeps, 'store'>> = {},
): UserRequests {
  return new UserRequests({
    onError: failTest,
    clock: new FakeClock(),
    options: defaultOptions(),
    store,
    terminalStates: new TerminalStateCache(10),
    submissionBudget: new RateBudget(10, () => 0),
    teams: TEAMS,
    catalog: () => SAMPLE_CATALOG,
    leader: () => null,
    beginLeaderlessWrite: () => Promise.resolve(null),
    callLeader: () => Promise.resolve(null),
    callOthers: () => Promise.resolve(null),
    ...overrides,
  });
}

/** Result of a read of a key that holds `value`, or that doesn't exist if that is undefined. */
export function readResult(key: string, value: unknown): StoreResult<Item | null> {
  return { kind: 'ok', value: value === undefined ? null : { key, value, version: 1, lease: null } };
}

/** A store that refuses every call. */
export const REFUSING_STORE: StoreFake = {
  get: () => Promise.resolve({ kind: 'refused' }),
  compareAndSwap: () => Promise.resolve({ kind: 'refused' }),
};

function answerTo(send: (reply: Reply) => void): Promise<HttpResponse> {
  return new Promise(send);
}

export function submit(userRequests: UserRequests, body: string): Promise<HttpResponse> {
  return answerTo((reply) => {
    userRequests.submit(body, reply);
  });
}

export function poll(userRequests: UserRequests, id: string): Promise<HttpResponse> {
  return answerTo((reply) => {
    userRequests.poll(id, reply);
  });
}

export function cancel(userRequests: UserRequests, id: string): Promise<HttpResponse> {
  return answerTo((reply) => {
    userRequests.cancel(id, reply);
  });
}

/** The stage in an answer, as users see it. */
export function stageIn({ body }: HttpResponse): unknown {
  return (JSON.parse(body) as { stage?: string }).stage;
}
