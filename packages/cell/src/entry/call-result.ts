/** What a caller is told, before any wire format. */

/** Why a call wasn't served. Where the job wasn't accepted, it never runs. */
export type CallRefusal =
  /** No configuration is known here yet. */
  | { outcome: 'not-ready'; retryAfterMs: number; detail: string }
  | { outcome: 'no-such-queue' }
  | { outcome: 'not-authenticated' }
  | { outcome: 'bad-input'; detail: string }
  /** Surely not accepted; another try makes sense after this time. */
  | { outcome: 'not-accepted'; retryAfterMs: number; detail: string }
  /** It isn't known whether it was accepted: the caller asks again with the same id. */
  | { outcome: 'unknown'; detail: string };

export type SubmitResult = { outcome: 'accepted'; again: boolean } | CallRefusal;

export type StateResult =
  | { outcome: 'state'; state: 'queued' | 'running' | 'completed' | 'failed' | 'cancelled' }
  | { outcome: 'no-such-job' }
  | CallRefusal;

export type CancelResult = { outcome: 'cancelled' } | { outcome: 'no-such-job' } | CallRefusal;

export type WaitingResult = { outcome: 'waiting'; count: number } | CallRefusal;
