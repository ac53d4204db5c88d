/** Calls of the demo that wait for a job or a claim, whichever entry answers. */
import type { Caller } from '../deployment/caller.js';
import type { Balancer } from '../load/balancer.js';

/** A job as the API shows it. */
export interface JobView {
  id: string;
  state: string;
  final: boolean;
  failureDomain: string;
  attempt: number;
  submittedAt: number;
  startedAt?: number;
  endedAt?: number;
}

/** A claim as the API shows it. */
export interface ClaimView {
  id: string;
  state: string;
  failureDomain: string;
  heldAfterMs?: number;
}

const WAIT_MS = 5000;

/** Submits a job. Throws unless it was accepted. */
export async function submitJob(caller: Caller, url: string, body: unknown): Promise<JobView> {
  const res = await caller.call('POST', `${url}/v1/jobs`, { body });
  if (res.status !== 202) throw new Error(`Not accepted: ${JSON.stringify(res.body)}`);
  return res.body as JobView;
}

/** Waits until a job is final, asking another entry when one goes away. */
export async function untilJob(caller: Caller, balancer: Balancer, id: string): Promise<JobView> {
  for (;;) {
    const url = balancer.pick();
    const view = await waitOnce(caller, url, id).catch(() => balancer.exclude(url));
    if (view?.final) return view;
  }
}

async function waitOnce(caller: Caller, url: string, id: string): Promise<JobView> {
  const res = await caller.call('GET', `${url}/v1/jobs/${id}/wait?timeoutMs=${WAIT_MS}`);
  return res.body as JobView;
}

/** Waits until a claim is held or has failed. */
export async function untilClaim(caller: Caller, url: string, id: string): Promise<ClaimView> {
  for (;;) {
    const res = await caller.call('GET', `${url}/v1/claims/${id}/wait?timeoutMs=${WAIT_MS}`);
    const view = res.body as ClaimView;
    if (view.state !== 'claiming') return view;
  }
}
