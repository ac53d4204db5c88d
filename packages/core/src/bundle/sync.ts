/**
 * Spreads the bundle over links, in entries and guards alike: a peer whose version is known is pushed what it lacks;
 * who hears of a newer version fetches what it lacks from whoever told it. Versions ride on heartbeats, so that a
 * lost push only delays.
 */
import { toProblem, type Problem } from '../error/problem.js';
import type { Handlers, Peer } from '../message/peer.js';
import type { ProcessContext } from '../process/context.js';
import type { Bundle, BundleDelta, BundleHead } from './bundle.js';
import type { BundleKeeper, OfferResult } from './keeper.js';

/** What a BundleSync is made from. */
export interface BundleSyncOptions {
  ctx: ProcessContext;
  keeper: BundleKeeper;
  /** Live links to tell of a new version; guards, being leaves, tell none. */
  peers?: () => Peer[];
  fetchTimeoutMs?: number;
  /** A peer whose bundle was refused isn't asked for the same version again for this long. */
  refusedPauseMs?: number;
}

/** Sections of a change that is sent unasked; a larger one is fetched by those who lack it. */
const MOST_PUSHED_SECTIONS = 32;

interface Refusal {
  version: number;
  until: number;
}

/** The bundle's part in one process's links. */
export class BundleSync {
  readonly handlers: Handlers = {
    'bundle.fetch': ({ have }, peer) => {
      this.#noteKnown(peer, have);
      const delta = this.#keeper.deltaSince(have);
      return delta ? { delta } : {};
    },
    'bundle.head': ({ version }, peer) => {
      this.onVersion(peer, version);
      return {};
    },
    'bundle.push': ({ delta }, peer) => {
      this.#takePushed(delta, peer);
      return { version: this.#keeper.version };
    },
  };

  readonly #ctx: ProcessContext;

  readonly #keeper: BundleKeeper;

  readonly #peers: () => Peer[];

  readonly #fetchTimeoutMs: number;

  readonly #refusedPauseMs: number;

  /** Peers to ask, with the version they told; Infinity: not told yet. */
  readonly #candidates = new Map<Peer, number>();

  /** Versions that peers are known to have. */
  readonly #known = new WeakMap<Peer, number>();

  readonly #refusals = new Map<string, Refusal>();

  #catchingUp = false;

  constructor({
    ctx,
    keeper,
    peers = () => [],
    fetchTimeoutMs = 1000,
    refusedPauseMs = 30_000,
  }: BundleSyncOptions) {
    this.#ctx = ctx;
    this.#keeper = keeper;
    this.#peers = peers;
    this.#fetchTimeoutMs = fetchTimeoutMs;
    this.#refusedPauseMs = refusedPauseMs;
  }

  /** Takes note of the version a peer has in force, from a heartbeat or a push; fetches it if newer. */
  onVersion(peer: Peer, version: number): void {
    this.#noteKnown(peer, version);
    if (version <= this.#keeper.version || this.#isPaused(peer, version)) return;
    this.#candidates.set(peer, version);
    void this.#catchUp();
  }

  /** Asks a newly linked peer, so that a process which just started needn't wait for a heartbeat. */
  onPeer(peer: Peer): void {
    this.#candidates.set(peer, Infinity);
    void this.#catchUp();
  }

  /** Offers a bundle that came from elsewhere, such as the table, and tells peers if it was taken. */
  offerBundle(head: BundleHead, bundle: Bundle, source: string): OfferResult {
    return this.#settle(this.#keeper.offerBundle(head, bundle), head, source);
  }

  #offer(delta: BundleDelta, source: string): OfferResult {
    return this.#settle(this.#keeper.offer(delta), delta.head, source);
  }

  #settle(result: OfferResult, { version, digest }: BundleHead, source: string): OfferResult {
    const { timeline, metrics, log } = this.#ctx;
    if (typeof result === 'object') {
      metrics.count('bundle.refused');
      timeline.record('bundle.refused', `bundle/${version}`, {
        source,
        why: result.refused.detail,
      });
      log.warn({ version, source, why: result.refused.detail }, 'bundle refused');
    }
    if (result !== 'taken') return result;
    metrics.count('bundle.taken');
    metrics.gauge('bundle.version', version);
    timeline.record('bundle.taken', `bundle/${version}`, { source, digest: digest.slice(0, 12) });
    log.info({ version, source }, 'bundle in force');
    this.#tellPeers();
    return result;
  }

  #tellPeers(): void {
    const { version } = this.#keeper;
    // Most peers lack the same: one delta serves them all.
    const deltas = new Map<number, BundleDelta | undefined>();
    this.#peers().forEach((peer) => {
      const known = this.#known.get(peer) ?? 0;
      if (known >= version) return;
      if (!deltas.has(known)) deltas.set(known, this.#smallDelta(known));
      this.#tell(peer, deltas.get(known)).catch(() => {
        // The next heartbeat tells it again.
        this.#ctx.metrics.count('bundle.push-failed');
      });
    });
  }

  async #tell(peer: Peer, delta: BundleDelta | undefined): Promise<void> {
    const timeoutMs = this.#fetchTimeoutMs;
    const head = this.#keeper.current?.head;
    if (delta) {
      const { version } = await peer.call('bundle.push', { delta }, { timeoutMs });
      this.#noteKnown(peer, version);
    } else if (head) {
      await peer.call('bundle.head', head, { timeoutMs });
    }
  }

  /** What leads from `version` to the one in force, if that is little enough to send unasked. */
  #smallDelta(version: number): BundleDelta | undefined {
    const delta = this.#keeper.deltaSince(version);
    if (!delta || delta.from === 0) return undefined;
    return delta.set.length + delta.remove.length <= MOST_PUSHED_SECTIONS ? delta : undefined;
  }

  /** A pushed delta starts at the version in force here, or the peer is asked like any that has a newer one. */
  #takePushed(delta: BundleDelta, peer: Peer): void {
    const { version } = delta.head;
    const fits = delta.from > 0 && delta.from === this.#keeper.version && version > delta.from;
    if (!fits || this.#isPaused(peer, version)) this.onVersion(peer, version);
    else {
      this.#noteKnown(peer, version);
      // What was refused may have been garbled on its way: the whole bundle is asked for, once.
      if (typeof this.#offer(delta, peer.process.id) === 'object') this.onVersion(peer, version);
    }
  }

  /** One fetch at a time: a process that links to many peers at once takes the bundle from one of them. */
  async #catchUp(): Promise<void> {
    if (this.#catchingUp) return;
    this.#catchingUp = true;
    try {
      for (let peer = this.#nextCandidate(); peer; peer = this.#nextCandidate()) {
        await this.#fetchFrom(peer);
      }
    } finally {
      this.#catchingUp = false;
    }
  }

  #nextCandidate(): Peer | undefined {
    const useful = [...this.#candidates].filter(
      ([peer, version]) => !peer.closed && version > this.#keeper.version,
    );
    const best = useful.sort(([, a], [, b]) => b - a)[0]?.[0];
    if (!best) this.#candidates.clear();
    else this.#candidates.delete(best);
    return best;
  }

  async #fetchFrom(peer: Peer): Promise<void> {
    const have = this.#keeper.version;
    try {
      const refused = await this.#fetchSince(peer, have);
      if (!refused) return;
      // The delta may not fit what is here; the whole bundle always does.
      const again = have > 0 ? await this.#fetchSince(peer, 0) : refused;
      if (again) this.#pause(peer);
    } catch (err) {
      this.#ctx.metrics.count('bundle.fetch-failed', 1, { kind: toProblem(err).kind });
    }
  }

  async #fetchSince(peer: Peer, have: number): Promise<Problem | undefined> {
    const { delta } = await peer.call(
      'bundle.fetch',
      { have },
      { timeoutMs: this.#fetchTimeoutMs },
    );
    if (!delta) return undefined;
    this.#noteKnown(peer, delta.head.version);
    const result = this.#offer(delta, peer.process.id);
    return typeof result === 'object' ? result.refused : undefined;
  }

  #noteKnown(peer: Peer, version: number): void {
    if ((this.#known.get(peer) ?? 0) < version) this.#known.set(peer, version);
  }

  #pause(peer: Peer): void {
    const version = this.#known.get(peer) ?? 0;
    const until = this.#ctx.clock.now() + this.#refusedPauseMs;
    this.#refusals.set(peer.process.id, { version, until });
  }

  #isPaused(peer: Peer, version: number): boolean {
    const refusal = this.#refusals.get(peer.process.id);
    if (!refusal) return false;
    if (refusal.version >= version && this.#ctx.clock.now() < refusal.until) return true;
    this.#refusals.delete(peer.process.id);
    return false;
  }
}
