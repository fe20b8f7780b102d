/** Chances by which the state service and the network misbehave, each per call. */
export interface FaultRates {
  /** A transaction is carried out and its answer lost. */
  answerLost: number;
  /** A transaction is carried out seconds later; its answer is lost. */
  late: number;
  /** The state service refuses a call. */
  refused: number;
  /** An answer of the state service comes late, up to beyond the time-out. */
  slow: number;
  /** A message between controllers comes late, up to beyond the time-out. */
  peersSlow: number;
}

export const NO_FAULTS: FaultRates = { answerLost: 0, late: 0, refused: 0, slow: 0, peersSlow: 0 };
