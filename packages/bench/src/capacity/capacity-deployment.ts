/** What the capacity measurements share: a deployment's settings, its platform's figures, its bundle. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import Wreck from '@hapi/wreck';
import { BUNDLE_HEAD_KEY, type OwnerRow, type BundleHeadRow } from '@zincspan/core';
import {
  Caller,
  GUARD_NODE_ARGS,
  VmProcess,
  createAccountToken,
  type BundleText,
  type Deployment,
} from '@zincspan/e2e';
import type { PlatformStats } from '@zincspan/stand-ins';
import type { SharedGuardSettings } from './guard-host.js';

/** Heartbeats and announcements of a deployment, in ms. */
export interface Cadence {
  name: string;
  heartbeat: { everyMs: number; silenceMs: number };
  announceTtlMs: number;
  /** Holds whole heartbeats and announcements, so that each size sees as many of them. */
  idleMs: number;
}

/** As settings have it by default. */
export const DEFAULT_CADENCE: Cadence = {
  name: 'heartbeat 1 s, announcement 3.3 s (default)',
  heartbeat: { everyMs: 1000, silenceMs: 3000 },
  announceTtlMs: 10_000,
  idleMs: 6667,
};

/** As the sums for two years' size have it. */
export const SLOW_CADENCE: Cadence = {
  name: 'heartbeat 5 s, announcement 20 s',
  heartbeat: { everyMs: 5000, silenceMs: 15_000 },
  announceTtlMs: 60_000,
  idleMs: 20_000,
};

export const FAILURE_DOMAIN = 'hall-1';
export const URGENT_KIND = 'urgent-work';
export const TEAMS = 390;

const { token, sha256 } = createAccountToken('team-0');
const strangers = new Map<number, string>();
const DAEMON = fileURLToPath(new URL('bin/main.js', import.meta.resolve('@zincspan/daemon')));

/** The account whose jobs the bench submits. */
export const caller = new Caller({ token });

/** A bundle of so many accounts; `change` makes one of them differ. */
export function bundleOf(accounts: number, change = 0): BundleText {
  return {
    accounts: Array.from({ length: accounts }, (_, n) => ({
      name: `team-${n}`,
      tokens: [{ id: 'bench', sha256: n === 0 ? sha256 : tokenOf(n) }],
      share: n === 1 ? 1 + change / 1000 : 1,
    })),
    kinds: [
      {
        name: URGENT_KIND,
        path: 'job',
        urgency: 'urgent',
        idempotent: true,
        contract: { withinMs: 60_000 },
      },
    ],
  };
}

/** Each account's token is its own, and stays the same from one bundle to the next. */
function tokenOf(n: number): string {
  const known = strangers.get(n) ?? createAccountToken(`team-${n}`).sha256;
  strangers.set(n, known);
  return known;
}

/** Settings of guards that link to the first entries of a deployment. */
export function guardSettings(
  { directory }: Deployment,
  { heartbeat, announceTtlMs }: Cadence,
  entries = Infinity,
): SharedGuardSettings {
  const [, ...lines] = readFileSync(join(directory, 'entry-1.jsonc'), 'utf8').split('\n');
  const settings = JSON.parse(lines.join('\n')) as SharedGuardSettings;
  return {
    failureDomain: FAILURE_DOMAIN,
    linkKeys: settings.linkKeys,
    operators: settings.operators,
    entries: settings.entries.slice(0, entries),
    heartbeat,
    announceTtlMs,
  };
}

/** Starts a guard as an operator would: the real daemon with the guard's flags. */
export async function startGuard(
  { directory }: Deployment,
  id: string,
  settings: object,
): Promise<VmProcess> {
  const file = join(directory, `${id}.jsonc`);
  writeFileSync(
    file,
    JSON.stringify({ ...settings, role: 'guard', id, listenHttp: '127.0.0.1:0' }),
  );
  const args = ['--settings', file];
  const guard = new VmProcess({ name: id, main: DAEMON, args, nodeArgs: GUARD_NODE_ARGS });
  await guard.start((line) => line.includes('"msg":"started"'));
  return guard;
}

/** Reads and writes of the platform so far. */
export async function platformStats({ layout }: Deployment): Promise<PlatformStats> {
  return getJson(`http://${layout.platform.upstream}/stats`);
}

/** When the bundle in force was rolled out, by the calendar, and its version. */
export async function headRow(deployment: Deployment): Promise<BundleHeadRow> {
  return readRow(deployment, BUNDLE_HEAD_KEY);
}

/** Who holds a failure domain. */
export async function ownerRow(deployment: Deployment, key: string): Promise<OwnerRow | undefined> {
  return readRow(deployment, key);
}

async function readRow<T>({ layout }: Deployment, key: string): Promise<T> {
  const url = `http://${layout.platform.upstream}/v1/rows/${encodeURIComponent(key)}`;
  return (await getJson<{ value: T }>(url)).value;
}

async function getJson<T>(url: string): Promise<T> {
  const { payload } = await Wreck.get<T>(url, { json: 'force' });
  return payload;
}
