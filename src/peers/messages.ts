/** The messages between controllers, whatever carries them. */

/**
 * What controllers ask each other. A follower hands the request of a user or worker to the leader and passes the
 * leader's answer on.
 */
export type PeerRequest =
  /** The state of a job, as far as the asked controller knows it without waiting. */
  | { kind: 'poll'; jobId: string }
  /** Many polls at once; answered by `pollAnswers` in the same order. */
  | { kind: 'pollBatch'; jobIds: readonly string[] }
  /** What the state service holds of a job: asked by a controller that the service refuses alone. */
  | { kind: 'lookup'; jobId: string }
  /** Asks for any sign of life; answered by `ack`. */
  | { kind: 'ping' }
  /** Whether workers have sent heartbeats to the asked controller itself of late; answered by `ack` if so. */
  | { kind: 'workerContact' }
  | { kind: 'cancel'; jobId: string }
  | { kind: 'submit'; jobId: string; body: string }
  /** Bodies of heartbeats as they came to the follower `node`; answered by `heartbeatResponses` in the same order. */
  | { kind: 'heartbeats'; node: string; heartbeats: readonly string[] }
  /**
   * A leader without the state service asks the other controllers to begin no leaderless write for `ms`
   * milliseconds. `continuous`: its lease of `term` is still valid.
   */
  | { kind: 'grantPeerLease'; term: number; ms: number; continuous: boolean };

/** Stage of a job as the frames between controllers name it. */
export type PeerJobStage = 'pending' | 'running' | 'done' | 'cancelled';

/** What a leader answers to one poll of a batch. */
export type PollAnswer =
  | { kind: 'status'; created: boolean; stage: PeerJobStage; done: number; running: number }
  /** The state service holds no record of the job. */
  | { kind: 'notFound' }
  /** The asked controller can't decide now. */
  | { kind: 'unavailable' };

/** The leader's answer to one relayed heartbeat. */
export interface HeartbeatResponse {
  /** HTTP status. */
  status: number;
  body: string;
}

/** What a controller answers another one. */
export type PeerReply =
  | PollAnswer
  | { kind: 'pollAnswers'; answers: readonly PollAnswer[] }
  /** `status`: the HTTP status of the refusal, with its reason. */
  | { kind: 'refused'; status: number; reason: string }
  /** `relay`: the follower is to relay more heartbeats. */
  | { kind: 'heartbeatResponses'; relay: boolean; responses: readonly HeartbeatResponse[] }
  /** The peer lease that was asked for holds. */
  | { kind: 'granted' }
  | { kind: 'ack' };

/** One message between controllers. A reply carries the id of its request; ids are unique for each connection. */
export type PeerFrame =
  { id: number; request: PeerRequest; reply: null } | { id: number; request: null; reply: PeerReply };
