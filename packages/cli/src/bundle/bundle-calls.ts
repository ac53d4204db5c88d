/** The steps of a change to the bundle, as functions: propose, sign, roll out. */
import {
  signHead,
  type Bundle,
  type BundleAndHead,
  type BundleHead,
  type BundleHeadRow,
  type Finding,
  type OperatorKey,
  type SectionChange,
} from '@zincspan/core';
import type { EntryClient } from '../client/entry-client.js';
import type { ProposalFile } from './bundle-file.js';

/** Answer to a proposal: what to sign, and what the reviewers should see. */
export interface ProposalAnswer extends ProposalFile {
  changes: SectionChange[];
  warnings: Finding[];
}

/** Answer to a rollout. */
export interface RolloutAnswer {
  outcome: 'rolled-out' | 'already';
  row: BundleHeadRow;
}

/** Answer about what is in force where. */
export interface BundleStatus {
  head?: BundleHead;
  processes: { process: string; role: string; failureDomain: string; version: number }[];
  unreachable: { process: string; why: string }[];
}

const BASE = '/v1/operator/bundle';

/** Checks and stores a bundle; answers the head to sign. */
export function proposeBundle(
  client: EntryClient,
  bundle: Bundle,
  note = '',
): Promise<ProposalAnswer> {
  return client.post(`${BASE}/proposals`, { bundle, note });
}

/** The proposal with this key's signature, in place of an earlier one of the same operator. */
export function signProposal(proposal: ProposalFile, key: OperatorKey): ProposalFile {
  const { head } = proposal;
  const others = head.signatures.filter(({ operator }) => operator !== key.operator);
  return { ...proposal, head: { ...head, signatures: [...others, signHead(head, key)] } };
}

/** Rolls a signed proposal out. Repeating it is safe. */
export function rollOutProposal(
  client: EntryClient,
  { head }: Pick<ProposalFile, 'head'>,
): Promise<RolloutAnswer> {
  return client.post(`${BASE}/rollouts`, { head });
}

/** A version's head and body; `current` for the one in force. */
export function readVersion(client: EntryClient, version = 'current'): Promise<BundleAndHead> {
  return client.get(`${BASE}/versions/${encodeURIComponent(version)}`);
}

/** What is in force in every process. */
export function readBundleStatus(client: EntryClient): Promise<BundleStatus> {
  return client.get(`${BASE}/status`);
}

/** Versions rolled out, the newest first. */
export function readHistory(
  client: EntryClient,
  limit?: number,
): Promise<{ versions: BundleHeadRow[] }> {
  return client.get(`${BASE}/history`, { limit });
}
