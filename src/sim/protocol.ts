/**
 * The messages of PROTOCOL as the emulated parties see them. They are written from that page alone and share
 * nothing with the service's own codecs, so that a mistake there can't hide here.
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

export type Stage = 'pending' | 'running' | 'done' | 'aborted';
export type TaskStage = 'fetching' | 'waiting' | 'running' | 'saving' | 'ended';
export type Cause = 'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'full' | 'busy' | 'no_such';

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

export interface Order {
  verb: 'launch' | 'stop' | 'clear';
  loaf: string;
  try: number;
  windDownS?: number;
}

export interface ReportBody {
  hearth: string;
  address: string;
  oven: string;
  yard: string;
  borrowed: boolean;
  shift: number;
  tick: number;
  baton: number;
  warningS: number | null;
  loaves: { loaf: string; try: number; stage: TaskStage; cause?: Cause; saved?: boolean }[];
}

export interface ReportAnswer {
  baton?: number;
  orders?: Order[];
}

export interface OrdersBody {
  baton?: number;
  shift?: number;
  orders?: Order[];
}

export interface TransactionBody {
  if?: { k: string; stamp: number }[];
  then?: ({ set: string; data: unknown; permit?: number } | { drop: string })[];
}

export interface RentBody {
  booking: string;
  oven: string;
  yard: string;
  borrowed: boolean;
  count: number;
}

/** `/work/…` paths of one job. */
export const jobPath = (uid: string): string => `/work/${uid}`;
export const cancelPath = (uid: string): string => `/work/${uid}/cancel`;

/** The parsed body of a message, or null if it isn't JSON. */
export function parse<T>(text: string): T | null {
  try {
    return JSON.parse(text) as T;
  } catch {
    return null;
  }
}
