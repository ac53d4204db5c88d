/** Bundles, keys and processes for scenarios. */
import fc from 'fast-check';
import { LinkError, type Peer } from '../message/peer.js';
import type { CountingMetrics } from '../process/metrics.js';
import { quietContext } from '../process/quiet-context.js';
import { bundleSchema, type Bundle, type BundleHead } from './bundle.js';
import { BundleKeeper } from './keeper.js';
import { digestBundle } from './section-set.js';
import { newOperatorKey, signHead, type OperatorKey } from './signature.js';
import { BundleSync } from './sync.js';

/** Keys of three operators; the settings know the first two only. */
export const keys = {
  bat: await newOperatorKey('bat'),
  anu: await newOperatorKey('anu'),
  stranger: await newOperatorKey('stranger'),
};
export const operators = [keys.bat, keys.anu].map(({ operator, publicKey }) => ({
  name: operator,
  publicKey,
}));

export function account(name: string, share = 1): unknown {
  const sha256 = Buffer.from(name.padEnd(32)).toString('hex').slice(0, 64);
  return { name, share, tokens: [{ id: 't', sha256 }] };
}

export function bundleOf(parts: object = {}): Bundle {
  return bundleSchema.parse({ accounts: [], kinds: [], ...parts });
}

/** A signed head for a bundle. */
export function headOf(
  bundle: Bundle,
  version: number,
  signers: OperatorKey[] = [keys.bat, keys.anu],
): BundleHead {
  const head = { version, parent: version - 1, digest: digestBundle(bundle), note: '' };
  const unsigned = { ...head, signatures: [] };
  return { ...head, signatures: signers.map((key) => signHead(unsigned, key)) };
}

const names = fc.constantFrom('a', 'b', 'c', 'd', 'e');

/** Small bundles that often share names, so that changes, removals and additions all occur. */
export const bundles: fc.Arbitrary<Bundle> = fc
  .record({
    accounts: fc.uniqueArray(fc.tuple(names, fc.integer({ min: 1, max: 3 })), {
      selector: ([name]) => name,
    }),
    drained: fc.uniqueArray(names),
    weight: fc.constantFrom(0, 0.5, 1),
  })
  .map(({ accounts, drained, weight }) =>
    bundleOf({
      accounts: accounts.map(([name, share]) => account(name, share)),
      drained,
      policy: { fragmentationWeight: weight },
    }),
  );

/** One process with a keeper and its sync; `links` are its peers. */
export class SyncProcess {
  readonly links: Peer[] = [];

  readonly metrics: CountingMetrics;

  readonly keeper = new BundleKeeper({ operators });

  readonly sync: BundleSync;

  readonly id: string;

  fetches = 0;

  /** So many calls to this process are lost. */
  loseNext = 0;

  constructor(id: string) {
    this.id = id;
    const ctx = quietContext({ id });
    this.metrics = ctx.metrics;
    this.sync = new BundleSync({ ctx, keeper: this.keeper, peers: () => this.links });
  }

  /** Links two processes; calls go straight to the other's handlers. */
  link(other: SyncProcess): void {
    const ends: Peer[] = [];
    ends.push(
      peerOf(other, () => ends[1]!),
      peerOf(this, () => ends[0]!),
    );
    this.links.push(ends[0]!);
    other.links.push(ends[1]!);
  }

  /** Answers a call that came over `peer`. */
  async answer(method: string, req: unknown, peer: Peer): Promise<unknown> {
    if (this.loseNext > 0) {
      this.loseNext -= 1;
      throw new LinkError('lost', 'The call was lost.');
    }
    if (method === 'bundle.fetch') this.fetches += 1;
    return this.sync.handlers[method as 'bundle.fetch']?.(req as { have: number }, peer);
  }
}

/** The end of a link through which `target` is called; it sees the caller as `back`. */
function peerOf(target: SyncProcess, back: () => Peer): Peer {
  const process = {
    id: target.id,
    role: 'entry',
    incarnation: `${target.id}-1`,
    failureDomain: 'x',
  };
  const call = (method: string, req: unknown): Promise<unknown> =>
    target.answer(method, req, back());
  return { process, closed: false, call } as unknown as Peer;
}

/** Lets every pending answer arrive. */
export function settled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
