/** An entry: the caller API over HTTP, links to guards and other entries, and the parts that work over both. */
import type { Server } from '@hapi/hapi';
import type {
  EntrySettings,
  Handlers,
  ObjectStore,
  Peer,
  ProcessContext,
  Table,
} from '@zincspan/core';
import { totalLinkTraffic, listenProblem } from '@zincspan/link';
import type { EntryApp, EntryAppFactory, EntryDeps } from './app.js';
import type { BundleSource } from './bundle-source.js';
import { AccountDirectory } from './http/account-directory.js';
import { registerHealthRoutes } from './http/health-routes.js';
import { createHttpServer } from './http/http-server.js';
import { RequestGate } from './http/request-gate.js';
import { mergeHandlers } from './handlers.js';
import { membershipApp } from './membership/app.js';
import { UpstreamDirectory } from './membership/upstream-directory.js';
import type { EntryLinks, EntryLinksFactory } from './mesh/entry-links.js';
import { EntryMesh } from './mesh/entry-mesh.js';
import { requestApp } from './request/app.js';

/** What an entry is made from. `apps` are the parts beyond membership and requests. */
export interface EntryOptions {
  ctx: ProcessContext;
  settings: EntrySettings;
  table: Table;
  objectStore: ObjectStore;
  bundles: BundleSource;
  apps?: readonly EntryAppFactory[];
  /** Makes the links to guards and other entries; without it the entry has none. */
  links?: EntryLinksFactory;
}

const HTTP_STOP_MS = 1000;

/** One entry process, from start to stop. */
export class Entry {
  readonly #ctx: ProcessContext;

  readonly #settings: EntrySettings;

  readonly #apps: EntryApp[];

  readonly #gate: RequestGate;

  readonly #links: EntryLinks | undefined;

  readonly server: Server;

  readonly mesh = new EntryMesh();

  readonly upstreams: UpstreamDirectory;

  constructor({ ctx, settings, table, objectStore, bundles, apps = [], links }: EntryOptions) {
    this.#ctx = ctx;
    this.#settings = settings;
    this.upstreams = new UpstreamDirectory({ ctx });
    const accounts = new AccountDirectory({ bundles });
    this.server = createHttpServer({ ctx, settings, accounts });
    this.#gate = new RequestGate({ ctx });
    this.#gate.register(this.server);
    const deps: EntryDeps = {
      ctx,
      settings,
      table,
      objectStore,
      bundles,
      accounts,
      upstreams: this.upstreams,
      mesh: this.mesh,
      isDraining: () => this.#gate.isDraining,
      status: () => this.status(),
    };
    this.#apps = [membershipApp, requestApp, ...apps].map((make) => make(deps));
    registerHealthRoutes(this.server, { bundles, isDraining: deps.isDraining });
    this.#apps.forEach((app) => app.routes?.(this.server));
    const handlers: Handlers = mergeHandlers(this.#apps);
    this.#links = links?.({
      ctx,
      settings,
      handlers,
      bundleVersion: () => bundles.current?.head.version ?? 0,
      onPeer: (peer) => this.#onPeer(peer),
    });
  }

  /** Listens for links, then starts the parts, then listens for callers. */
  async start(): Promise<void> {
    await this.#links?.start();
    await this.#inTurn((app) => app.start?.());
    await this.#listenForCallers();
    this.#note('entry.started');
  }

  /**
   * Takes no new work, lets requests in progress finish within `drainMs` while the parts hand over what they hold.
   * The entry still answers `/health` and refusals until `stop`.
   */
  async drain(): Promise<void> {
    if (this.#gate.isDraining) return;
    this.#note('entry.draining', { inProgress: this.#gate.inProgress });
    this.#gate.drain();
    const handOver = Promise.allSettled(this.#apps.map((app) => this.#drainApp(app)));
    const { drainMs } = this.#settings;
    await Promise.all([this.#gate.whenIdle(drainMs), within(handOver, drainMs)]);
    this.#note('entry.drained', { left: this.#gate.inProgress });
  }

  /** Ends everything. Requests still in progress are cut; call `drain` first. */
  async stop(): Promise<void> {
    await this.server.stop({ timeout: HTTP_STOP_MS });
    await this.#inTurn((app) => app.stop?.());
    await this.#links?.close();
    this.#note('entry.stopped');
  }

  /** Where guards and other entries link to, once started. */
  get linkAddress(): string | undefined {
    return this.#links?.address;
  }

  /** Status of every part by its name. */
  status(): Record<string, unknown> {
    const parts = this.#apps.map((app) => [app.name, app.status?.() ?? {}]);
    const traffic = totalLinkTraffic(this.#ctx);
    return { draining: this.#gate.isDraining, traffic, ...Object.fromEntries(parts) };
  }

  async #listenForCallers(): Promise<void> {
    try {
      await this.server.start();
    } catch (err) {
      throw listenProblem(this.#settings.listenHttp, err as NodeJS.ErrnoException);
    }
  }

  #onPeer(peer: Peer): void {
    if (peer.process.role === 'guard') this.upstreams.linkUp(peer);
    else this.mesh.linkUp(peer);
  }

  async #drainApp(app: EntryApp): Promise<void> {
    try {
      await app.drain?.();
      this.#ctx.timeline.record('entry.part-drained', app.name);
    } catch (err) {
      this.#ctx.log.error({ part: app.name, err }, 'hand-over failed');
    }
  }

  async #inTurn(step: (app: EntryApp) => Promise<void> | void): Promise<void> {
    for (const app of this.#apps) await step(app);
  }

  #note(event: string, detail: Record<string, number> = {}): void {
    this.#ctx.timeline.record(event, this.#ctx.self.id, detail);
    this.#ctx.log.info(detail, event);
  }
}

/** Resolves with the promise, or after `ms`. */
async function within(promise: Promise<unknown>, ms: number): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms);
  });
  await Promise.race([promise, late]);
  clearTimeout(timer);
}
