/** Port to the placement advisor, which decides on which runners the steps of some queues may run. */

/** Permission to run a step on one runner instance. */
export interface Approval {
  runner: string;
  /** Passed with each start of one of the step's tasks on that runner. */
  ticket: string;
}

/** Outcome of a request. Runners that were asked about and are not approved may never run the step. */
export type AdviceResult =
  | { outcome: 'advised'; approvals: readonly Approval[]; validMs: number }
  | { outcome: 'failed'; detail: string };

/** Never rejects. `step`: the step's name; `runners`: ids of at most 100 runner instances. */
export interface Advisor {
  advise(
    step: string,
    runners: readonly string[],
    options: { timeoutMs: number },
  ): Promise<AdviceResult>;
}
