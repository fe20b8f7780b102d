/** The messages between controllers, independent of the transport. */

/**
 * A request to another controller. A follower forwards requests of users and workers to the leader and returns the
 * leader's answer.
 */
export type PeerRequest =
  /** Asks for the state of a job, as far as the receiver knows it without waiting. */
  | { kind: 'poll'; jobId: string }
  /** A batch of polls; answered by `pollAnswers` in the same order. */
  | { kind: 'pollBatch'; jobIds: readonly string[] }
  /** Asks for the stored state of a job; sent by a controller whose own read of the store has failed. */
  | { kind: 'lookup'; jobId: string }
  /** Checks that the receiver is reachable; answered by `ack`. */
  | { kind: 'ping' }
  /** Asks whether the receiver has recently received heartbeats directly from workers; answered by `ack` if so. */
  | { kind: 'workerContact' }
  | { kind: 'cancel'; jobId: string }
  | { kind: 'submit'; jobId: string; body: string }
  /** Bodies of heartbeats that the follower `node` received; answered by `heartbeatResponses` in the same order. */
  | { kind: 'heartbeats'; node: string; heartbeats: readonly string[] }
  /**
   * Sent by a leader that can't reach the store: the receiver shall begin no leaderless write for `ms` milliseconds.
   * `continuous`: the leader's lease of `term` is still valid.
   */
  | { kind: 'grantPeerLease'; term: number; ms: number; continuous: boolean };

/** The stage of a job in messages between controllers. */
export type PeerJobStage = 'pending' | 'running' | 'done' | 'cancelled';

/** The answer to one poll. */
export type PollAnswer =
  | { kind: 'status'; created: boolean; stage: PeerJobStage; done: number; running: number }
  /** The store holds no record of the job. */
  | { kind: 'notFound' }
  /** The receiver can't answer the request at present. */
  | { kind: 'unavailable' };

/** The leader's answer to one relayed heartbeat. */
export interface HeartbeatResponse {
  /** HTTP status. */
  status: number;
  body: string;
}

/** The reply to a request of another controller. */
export type PeerReply =
  | PollAnswer
  | { kind: 'pollAnswers'; answers: readonly PollAnswer[] }
  /** `status`: the HTTP status of the refusal, with its reason. */
  | { kind: 'refused'; status: number; reason: string }
  /** `relay`: the follower should go on relaying heartbeats. */
  | { kind: 'heartbeatResponses'; relay: boolean; responses: readonly HeartbeatResponse[] }
  /** The receiver grants the requested peer lease. */
  | { kind: 'granted' }
  | { kind: 'ack' };

/** One message between controllers. A reply carries the id of its request; ids are unique for each connection. */
export type PeerFrame =
  { id: number; request: PeerRequest; reply: null } | { id: number; request: null; reply: PeerReply };
