/** The guard: one small process beside each upstream, the only arbiter of its slots or accelerators. */
import {
  DrainedWatch,
  type BundleKeeper,
  type GuardSettings,
  type Handlers,
  type Peer,
  type ProcessContext,
  type Upstream,
} from '@zincspan/core';
import { totalLinkTraffic } from '@zincspan/link';
import { EntryLinks } from './entry-link/entry-links.js';
import { gangApp } from './gang/app.js';
import { GangKeeper } from './gang/gang-keeper.js';
import { OwnerContact } from './gang/owner-contact.js';
import { OwnerReports } from './gang/owner-reports.js';
import { requestApp } from './request/app.js';
import { RequestRunner } from './request/request-runner.js';
import { Announcer } from './upstream/announcer.js';
import { upstreamApp } from './upstream/app.js';
import { UpstreamHolder } from './upstream/upstream-holder.js';
import { UpstreamListener } from './upstream/upstream-listener.js';

/** What a guard is made of. */
export interface GuardOptions {
  ctx: ProcessContext;
  settings: GuardSettings;
  /** Handlers of the daemon's other parts: bundle, time line, status. */
  handlers?: Handlers;
  /** Bundle in force: its drained list takes the upstream out of service. */
  bundles?: Pick<BundleKeeper, 'current' | 'subscribe'>;
  /** Own bundle version, told in heartbeats. */
  bundleVersion?: () => number;
  /** An entry's bundle version, from each of its heartbeats. */
  onBundleVersion?: (peer: Peer, version: number) => void;
  /** Each link to an entry that comes up. */
  onPeer?: (peer: Peer) => void;
}

/** A guard's life: `start`, `drain`, `stop`. */
export class Guard {
  /** `IP:port` of the announcement listener, once started. */
  address = '';

  readonly #ctx: ProcessContext;

  readonly #settings: GuardSettings;

  readonly #links: EntryLinks;

  readonly #holder: UpstreamHolder;

  readonly #listener: UpstreamListener;

  readonly #announcer: Announcer;

  readonly #runner: RequestRunner;

  readonly #keeper: GangKeeper;

  readonly #reports: OwnerReports;

  /** Why this guard drains: a planned stop, an order, or the bundle. It serves once none is left. */
  readonly #drainReasons = new Set<'stop' | 'order' | 'bundle'>();

  readonly #bundles: GuardOptions['bundles'];

  #drainedWatch: DrainedWatch | undefined;

  #draining = false;

  constructor({ ctx, settings, handlers = {}, onPeer, bundles, ...hooks }: GuardOptions) {
    this.#bundles = bundles;
    this.#ctx = ctx;
    this.#settings = settings;
    const all: Handlers = { ...handlers };
    this.#links = new EntryLinks({ ctx, settings, handlers: all, ...hooks });
    if (onPeer) this.#links.onUp(onPeer);
    const { upstream, announceTtlMs: ttlMs } = settings;
    this.#holder = new UpstreamHolder({ ctx, ttlMs, upstream });
    this.#announcer = new Announcer({ ctx, settings, links: this.#links });
    this.#runner = new RequestRunner({ ctx, settings });
    const contact = this.#contact();
    this.#keeper = new GangKeeper({
      ctx,
      settings,
      contact,
      onReady: (ref) => this.#reports.ready(ref),
      onEnded: (end) => this.#reports.ended(end),
    });
    this.#reports = new OwnerReports({
      ctx,
      links: this.#links,
      contact,
      usages: () => this.#keeper.usages(),
    });
    Object.assign(
      all,
      requestApp({ ctx, runner: this.#runner }),
      gangApp({ keeper: this.#keeper, reports: this.#reports, contact }),
      upstreamApp({ setDraining: (on) => this.#drainFor('order', on) }),
    );
    this.#listener = new UpstreamListener({
      listen: settings.listenHttp,
      metrics: ctx.metrics,
      onAnnounced: (announced) => this.#holder.announced(announced),
      onWithdrawn: () => this.#holder.withdrawn(),
      isReady: () => this.#announcer.state === 'ready',
    });
  }

  /** Listens, dials the entries and offers the upstream once it may be. */
  async start(): Promise<void> {
    this.address = await this.#listener.start();
    this.#watchDrained();
    this.#holder.onChange((upstream) => {
      this.#drainedWatch?.check();
      void this.#offer(upstream);
    });
    this.#links.start();
    this.#announcer.start();
    this.#reports.start();
    void this.#offer(this.#holder.upstream);
  }

  /** Takes nothing new and waits for what is in progress, `drainMs` at the longest. */
  async drain(): Promise<void> {
    await this.#drainFor('stop', true);
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, this.#settings.drainMs);
    });
    await Promise.race([limit, Promise.all([this.#runner.drain(), this.#keeper.whenIdle()])]);
    clearTimeout(timer);
  }

  /** Withdraws the upstream and ends all links. */
  async stop(): Promise<void> {
    this.#drainedWatch?.stop();
    await this.#announcer.announce(undefined, 'withdrawn');
    this.#announcer.stop();
    this.#reports.stop();
    this.#holder.stop();
    this.#keeper.stop();
    this.#runner.stop();
    this.#links.close();
    await this.#listener.stop();
  }

  /** Figures for `process.status`. */
  status(): Record<string, unknown> {
    return {
      upstream: this.#holder.upstream?.id ?? '',
      state: this.#announcer.state,
      requests: this.#runner.load,
      tasks: this.#keeper.active,
      entriesLinked: this.#links.links().length,
      traffic: totalLinkTraffic(this.#ctx),
    };
  }

  #contact(): OwnerContact {
    const { clock, metrics } = this.#ctx;
    const { ownerSilenceMs, taskLeaseMs } = this.#settings;
    // The owner and then the others are asked between two renewals, before the lease is over.
    const askMs = Math.min(1000, taskLeaseMs / 4);
    return new OwnerContact({ clock, metrics, links: this.#links, ownerSilenceMs, askMs });
  }

  async #offer(upstream: Upstream | undefined): Promise<void> {
    this.#runner.setRunner(upstream?.type === 'runner' ? upstream : undefined);
    if (upstream?.type !== 'worker') this.#keeper.leave();
    else if (!(await this.#keeper.adopt(upstream))) return;
    const state = this.#draining ? 'draining' : 'ready';
    await this.#announcer.announce(upstream, upstream ? state : 'withdrawn');
  }

  #watchDrained(): void {
    if (this.#bundles === undefined) return;
    this.#drainedWatch = new DrainedWatch({
      keeper: this.#bundles,
      upstream: () => this.#holder.upstream?.id,
      onChange: (drained) => {
        void this.#drainFor('bundle', drained);
      },
    });
  }

  #drainFor(reason: 'stop' | 'order' | 'bundle', on: boolean): Promise<void> {
    if (on) this.#drainReasons.add(reason);
    else this.#drainReasons.delete(reason);
    return this.#setDraining(this.#drainReasons.size > 0);
  }

  async #setDraining(on: boolean): Promise<void> {
    if (on === this.#draining) return;
    this.#draining = on;
    this.#ctx.timeline.record(on ? 'guard.draining' : 'guard.resumed', this.#ctx.self.id);
    this.#keeper.setDraining(on);
    if (on) void this.#runner.drain();
    else this.#runner.resume();
    if (this.#announcer.state === 'withdrawn') return;
    await this.#announcer.announce(undefined, on ? 'draining' : 'ready');
  }
}
