/** The configuration bundle as a part of an entry. */
import {
  BundleKeeper,
  BundleSync,
  type EntrySettings,
  type Peer,
  type ProcessContext,
} from '@zincspan/core';
import type { EntryApp, EntryAppFactory, EntryDeps } from '../app.js';
import { HeadWatch } from './head-watch.js';

/** The bundle in one entry, made before the entry itself: its links tell versions to it. */
export class EntryBundles {
  readonly keeper: BundleKeeper;

  readonly sync: BundleSync;

  /** Makes the part, for `Entry`'s `apps`. */
  readonly app: EntryAppFactory = (deps) => this.#makeApp(deps);

  #deps: EntryDeps | undefined;

  constructor({
    ctx,
    settings,
  }: {
    ctx: ProcessContext;
    settings: Pick<EntrySettings, 'operators'>;
  }) {
    this.keeper = new BundleKeeper({ operators: settings.operators });
    this.sync = new BundleSync({ ctx, keeper: this.keeper, peers: () => this.#peers() });
  }

  /** For the links' hook of the same name. */
  onBundleVersion(peer: Peer, version: number): void {
    this.sync.onVersion(peer, version);
  }

  #peers(): Peer[] {
    return this.#deps ? linkedPeers(this.#deps) : [];
  }

  #makeApp(deps: EntryDeps): EntryApp {
    const { ctx, table, objectStore, mesh, upstreams } = deps;
    const { keeper, sync } = this;
    const watch = new HeadWatch({ ctx, table, objectStore, keeper, sync });
    this.#deps = deps;
    const subscriptions = [
      mesh.onPeer((peer) => sync.onPeer(peer)),
      upstreams.onChange((change) => {
        const peer = change.type === 'linked' ? upstreams.guardPeer(change.guard) : undefined;
        if (peer) sync.onPeer(peer);
      }),
    ];
    return {
      name: 'bundle',
      handlers: sync.handlers,
      start: () => watch.start(),
      stop: () => {
        watch.stop();
        subscriptions.forEach((end) => end());
      },
      status: () => ({ version: keeper.version, platformReachable: watch.reachable }),
    };
  }
}

/** Live links of an entry, to entries and to guards. */
export function linkedPeers({ mesh, upstreams }: Pick<EntryDeps, 'mesh' | 'upstreams'>): Peer[] {
  const guards = new Set(upstreams.all().map(({ guard }) => guard));
  const linked = [...guards].flatMap((guard) => upstreams.guardPeer(guard) ?? []);
  return [...mesh.peers(), ...linked];
}
