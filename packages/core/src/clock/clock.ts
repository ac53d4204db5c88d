/** Time as the decision code sees it: always passed in, never read from the host. */

/** Source of time. `now` never goes back; `wall` follows the host's calendar clock. Both in ms. */
export interface Clock {
  now(): number;
  wall(): number;
}

/** The host's clocks. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }
}
