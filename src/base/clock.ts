/** Time as the service sees it. Decisions take it as a value, so tests can move it by hand. */
export interface Clock {
  /** Steady milliseconds; only differences mean anything. */
  now(): number;
  /** Time of day in milliseconds; off by up to the bound in the settings. */
  wall(): number;
}

/** The clocks of this machine: `performance.now()`, which no adjustment of the time of day moves, and `Date.now()`. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
};

/** Bound on the drift between the steady clocks of two machines: twice the expected maximum of 0.05%. */
export const MAX_CLOCK_DRIFT_RATIO = 0.001;
