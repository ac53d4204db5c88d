/** What one entry tells an operator: the upstreams that it knows, the versions that it sees in force. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { EntryClient, readBundleStatus, readUpstreams, type UpstreamReport } from '@zincspan/cli';
import type { OperatorKey } from '@zincspan/core';
import type { Deployment } from '../deployment/deployment.js';

const TIMEOUT_MS = 5000;

/** An operator's key from its file. */
export function readOperatorKey({ directory, operators }: Deployment, index = 0): OperatorKey {
  const file = join(directory, `${operators[index]?.name}.key.json`);
  return JSON.parse(readFileSync(file, 'utf8')) as OperatorKey;
}

/** An operator's client that asks these entries only. */
export function operatorClient(
  deployment: Deployment,
  { entries, operator = 0 }: { entries: string[]; operator?: number },
): EntryClient {
  const addresses = deployment.layout.entries
    .filter(({ id }) => entries.includes(id))
    .map(({ vm }) => vm.http);
  const key = readOperatorKey(deployment, operator);
  return new EntryClient({ entries: addresses, key, timeoutMs: TIMEOUT_MS });
}

/** Upstreams as an entry knows them. */
export async function upstreamsAt(
  deployment: Deployment,
  entry: string,
): Promise<UpstreamReport[]> {
  const { upstreams } = await readUpstreams(operatorClient(deployment, { entries: [entry] }));
  return upstreams;
}

/** Upstreams that get work from an entry. */
export async function readyAt(deployment: Deployment, entry: string): Promise<string[]> {
  const upstreams = await upstreamsAt(deployment, entry);
  return upstreams
    .filter(({ linked, state, drained }) => linked && state === 'ready' && !drained)
    .map(({ upstream }) => upstream.id);
}

/** Version in force at each process that an entry reaches. */
export async function versionsAt(
  deployment: Deployment,
  entry: string,
): Promise<Map<string, number>> {
  const client = operatorClient(deployment, { entries: [entry] });
  const { processes } = await readBundleStatus(client);
  return new Map(processes.map(({ process, version }) => [process, version]));
}
