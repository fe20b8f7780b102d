/**
 * The messages of PROTOCOL as the emulated parties see them, under their wire names. They are written from that page
 * alone and share nothing with the service's own codecs, so that the emulator detects mistakes in those codecs.
 */

/** A submission. */
export interface JobBody {
  uid: string;
  batch: string;
  crew: string;
  shape: 'array' | 'ensemble';
  rank: 'critical' | 'urgent' | 'standard' | 'low';
  loaves: number;
  cores: number;
  accelerators: number;
  memGb: number;
  ovens: string[] | null;
  yard: string | null;
  samePlace: boolean;
  apart: boolean;
  borrowed: boolean;
  recipe: string;
  imageGb: number;
  bakeS: number;
  proofS: number;
  coolS: number;
  dueS: number | null;
}

/** Stage of a job in an answer to its user (`aborted`: cancelled). */
export type JobStage = 'pending' | 'running' | 'done' | 'aborted';
/** Phase of a task's attempt in its worker's heartbeat. */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'ended';
/** Why a task's attempt ended. */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'full' | 'busy' | 'no_such';

/** A machine type of the catalog: sizes in GB, prices per hour, `startupS` in seconds. */
export interface MachineType {
  name: string;
  cores: number;
  accelerators: number;
  memGb: number;
  localGb: number;
  pullGbPerS: number;
  rate: number;
  spotPrice: number;
  startupS: number;
  yards: string[];
}

/** A command to a worker about one attempt of a task; `windDownS`: grace period in seconds. */
export interface Command {
  verb: 'launch' | 'stop' | 'clear';
  loaf: string;
  try: number;
  windDownS?: number;
}

/** The body of `POST /checkin`. */
export interface HeartbeatBody {
  hearth: string;
  address: string;
  oven: string;
  yard: string;
  borrowed: boolean;
  shift: number;
  tick: number;
  baton: number;
  warningS: number | null;
  loaves: { loaf: string; try: number; stage: TaskPhase; cause?: ExitCause; saved?: boolean }[];
}

/** The answer to `POST /checkin`, as far as a worker may rely on it. */
export interface HeartbeatResponse {
  baton?: number;
  orders?: Command[];
}

/** The body of `POST /orders`, as far as a worker may rely on it. */
export interface CommandsBody {
  baton?: number;
  shift?: number;
  orders?: Command[];
}

/** The body of `POST /multi`. */
export interface TransactionBody {
  if?: { k: string; stamp: number }[];
  then?: ({ set: string; data: unknown; permit?: number } | { drop: string })[];
}

/** The body of `POST /rentals`. */
export interface RentBody {
  booking: string;
  oven: string;
  yard: string;
  borrowed: boolean;
  count: number;
}

/** Path at which a job's state is queried. */
export const jobPath = (uid: string): string => `/work/${uid}`;
/** Path at which a job is cancelled. */
export const cancelPath = (uid: string): string => `/work/${uid}/cancel`;

/** The parsed body of a message, or null if it isn't JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
