/** The bundle in one process: bytes of a change, time to check and apply it, memory of what is kept. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Packr } from 'msgpackr';
import {
  BundleKeeper,
  SectionSet,
  bundleSchema,
  makeDelta,
  newOperatorKey,
  signHead,
  type Bundle,
  type BundleDelta,
  type BundleHead,
  type OperatorKey,
} from '@zincspan/core';
import { bundleOf } from './capacity-deployment.js';
import { printSlopes, type Point } from './slope.js';

const ACCOUNTS = [50, 100, 200, 390];
const CHANGES = 50;
const KEPT = 20;
const packr = new Packr({ useRecords: false });

/** Measures changes of one account at growing sizes. */
export async function measureBundleSlopes(): Promise<void> {
  const keys = await Promise.all(['ganbold', 'lakshmi'].map(newOperatorKey));
  const whole: Point[] = [];
  const delta: Point[] = [];
  const time: Point[] = [];
  const memory: Point[] = [];
  ACCOUNTS.forEach((accounts) => {
    const deltas = makeDeltas(accounts, keys);
    whole.push([accounts, packr.pack(deltas[0]).byteLength]);
    delta.push([accounts, packr.pack(deltas[1]).byteLength]);
    time.push([accounts, timeToApply(deltas, keys)]);
    memory.push([accounts, memoryOfKeeper(deltas, keys)]);
  });
  const per = 'accounts of the bundle';
  printSlopes('Bundle, one account changed', [
    { what: 'whole bundle: bytes', per, points: whole },
    { what: 'delta of one account: bytes', per, points: delta },
    { what: 'delta: check signatures, apply, digest; ms', per, points: time },
    { what: 'kept by a daemon: heap, kB', per, points: memory },
  ]);
}

/** The first is the whole bundle; each of the others changes one account. */
function makeDeltas(accounts: number, keys: OperatorKey[]): BundleDelta[] {
  const bundles = Array.from({ length: CHANGES + 1 }, (_, n) =>
    bundleSchema.parse(bundleOf(accounts, n)),
  );
  return bundles.map((after, n) => {
    const head = signedHead(after, n + 1, keys);
    const before = bundles[n - 1];
    return makeDelta(before === undefined ? { after, head } : { from: n, before, after, head });
  });
}

function signedHead(bundle: Bundle, version: number, keys: OperatorKey[]): BundleHead {
  const { digest } = SectionSet.of(bundle);
  const head = { version, digest, parent: version - 1, note: '', signatures: [] };
  return { ...head, signatures: keys.map((key) => signHead(head, key)) };
}

function createKeeper(keys: OperatorKey[]): BundleKeeper {
  const operators = keys.map(({ operator, publicKey }) => ({ name: operator, publicKey }));
  return new BundleKeeper({ operators });
}

function timeToApply([first, ...changes]: BundleDelta[], keys: OperatorKey[]): number {
  const keeper = createKeeper(keys);
  keeper.offer(first!);
  const start = performance.now();
  changes.forEach((change) => keeper.offer(change));
  const ms = performance.now() - start;
  if (keeper.version !== CHANGES + 1) throw new Error('A change was refused.');
  return ms / CHANGES;
}

/** Heap of one keeper in kB, from several that each took their own copy. */
function memoryOfKeeper([first]: BundleDelta[], keys: OperatorKey[]): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const bytes = packr.pack(first);
  const keepers = Array.from({ length: KEPT }, () => {
    const keeper = createKeeper(keys);
    keeper.offer(packr.unpack(bytes) as BundleDelta);
    return keeper;
  });
  collect();
  const used = process.memoryUsage().heapUsed - before;
  return used / keepers.length / 1024;
}
