/** Probabilities of faults of the store and the network, each per call. */
export interface FaultRates {
  /** A transaction is applied, and its answer is lost. */
  answerLost: number;
  /** A transaction is applied seconds later, and its answer is lost. */
  appliedLate: number;
  /** The store refuses a call. */
  refused: number;
  /** An answer of the store comes late, possibly after the timeout. */
  answerSlow: number;
  /** A message between controllers comes late, possibly after the timeout. */
  peersSlow: number;
}

export const NO_FAULTS: FaultRates = {
  answerLost: 0,
  appliedLate: 0,
  refused: 0,
  answerSlow: 0,
  peersSlow: 0,
};
