/** What operators read about the whole system, as functions. */
import type { JobRow, PlacedWorker, TimelineEvent, Upstream } from '@zincspan/core';
import type { EntryClient } from '../client/entry-client.js';

/** A process that didn't answer the entry, and why. */
export interface Unreachable {
  process: string;
  why: string;
}

/** One process and what its parts say of themselves. */
export interface ProcessReport {
  process: string;
  role: string;
  failureDomain: string;
  status: Record<string, unknown>;
}

/** One upstream as the entry knows it. */
export interface UpstreamReport {
  upstream: Upstream;
  failureDomain: string;
  guard: string;
  state: string;
  /** Named in the bundle's `drained` list. */
  drained: boolean;
  linked: boolean;
  expiresInMs: number;
}

/** The merged time line. `dropped` counts, per process, the events that its ring no longer holds. */
export interface TimelineReport {
  events: TimelineEvent[];
  dropped: Record<string, number>;
  unreachable: Unreachable[];
}

const BASE = '/v1/operator';

/** Status of all processes. */
export function readProcesses(
  client: EntryClient,
): Promise<{ processes: ProcessReport[]; unreachable: Unreachable[] }> {
  return client.get(`${BASE}/processes`);
}

/** All upstreams known to the entry. */
export function readUpstreams(client: EntryClient): Promise<{ upstreams: UpstreamReport[] }> {
  return client.get(`${BASE}/upstreams`);
}

/** Jobs over all accounts, a page at a time: `next` goes on as `after`. */
export function readJobs(
  client: EntryClient,
  query: { account?: string; state?: string; after?: string; limit?: number } = {},
): Promise<{ jobs: JobRow[]; next?: string }> {
  return client.get(`${BASE}/jobs`, query);
}

/** Events of all processes in causal order; `since` in wall-clock ms. */
export function readTimeline(
  client: EntryClient,
  query: { since?: number; job?: string; limit?: number } = {},
): Promise<TimelineReport> {
  return client.get(`${BASE}/timeline`, query);
}

/** The workers among upstreams, with where they are. */
export function workersOf(upstreams: readonly UpstreamReport[]): PlacedWorker[] {
  return upstreams.flatMap(({ upstream, failureDomain }) =>
    upstream.type === 'worker' ? [{ ...upstream, failureDomain }] : [],
  );
}
