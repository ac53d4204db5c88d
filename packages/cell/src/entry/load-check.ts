/** Refuses submissions that can't be served in time, before anything is written. */
import type { ProcessContext } from '@zincspan/core';
import { findGraphError, type JobRequest } from '../job/submission.js';
import type { AdmissionGate } from '../load/admission-gate.js';
import type { CallAdmission, CallerCall } from './call-admission.js';
import type { CallRefusal } from './call-result.js';
import { JOB_ID_PATTERN } from './job-id.js';
import type { MonitoredStore } from '../store/monitored-store.js';
import type { JobLookup } from './job-lookup.js';

/**
 * Time-out of the read that makes sure, before a job is refused, that no earlier attempt has accepted it, in ms. Ten times the usual
 * read time. Without an answer the job isn't refused.
 */
const KNOWN_JOB_CHECK_MS = 250;

/** Decodes the request body; called only after the call was admitted. */
export type DecodeJob = () => { job: JobRequest } | { fault: string };

/** A submission; `deadline` is on the monotonic clock, in ms. */
interface CheckedSubmission {
  call: CallerCall;
  decode: DecodeJob;
  deadline: number;
}

/** Refusal because of the load, or what to do when the submission has been accepted. */
interface LoadCheck {
  refusal?: CallRefusal;
  onAccepted?: () => void;
}

/** What else may be wrong with the submission is left to the checks that follow. */
export async function checkLoad(
  {
    ctx,
    gate,
    admission,
    jobs,
    store,
  }: {
    ctx: ProcessContext;
    gate?: AdmissionGate | undefined;
    admission: CallAdmission;
    jobs: JobLookup;
    store: MonitoredStore;
  },
  { call, decode, deadline }: CheckedSubmission,
): Promise<LoadCheck> {
  // An earlier attempt, perhaps at another entry, may still be stored: the refusal would turn out to be untrue.
  if (!gate?.mayRefuse || store.mayHaveLateWrites) return {};
  const admitted = await admission.admit(call);
  if (admitted.outcome !== 'admitted') return {};
  const { rest: id, queue, account } = admitted;
  if (!JOB_ID_PATTERN.test(id) || jobs.cached(id) !== undefined) return {};
  const decoded = decode();
  if ('fault' in decoded || findGraphError(decoded.job.steps) !== undefined) return {};
  const submission = { id, queue, account, job: decoded.job };
  const decision = gate.decide(submission);
  const onAccepted = (): void => gate.noteAccepted(submission, decision);
  if (decision.outcome === 'accept') return { onAccepted };
  const timeoutMs = Math.min(KNOWN_JOB_CHECK_MS, deadline - ctx.clock.now());
  const known = timeoutMs > 0 ? await jobs.find(id, { timeoutMs }) : 'unknown';
  if (known !== 'absent') return { onAccepted };
  const told = gate.refuse(submission, decision);
  return { refusal: { outcome: 'not-accepted', reason: 'overload', ...told } };
}
