/** The real links of an entry: one listener for guards and entries, one dialer per entry of a higher id. */
import type { EntrySettings, Peer } from '@zincspan/core';
import { Dialer, LinkServer, type Link, type LinkOptions } from '@zincspan/link';
import type { EntryLinks, EntryLinksFactory } from './entry-links.js';

/** What the links tell beyond their calls. */
export interface LinkMeshOptions {
  /** Told with each heartbeat of a peer: the version of its bundle. */
  onBundleVersion?: (peer: Peer, version: number) => void;
}

/**
 * Of two entries the one with the lower id dials, so that there is one link between them. Guards dial by themselves.
 */
export function entriesToDial({
  id,
  entries,
}: Pick<EntrySettings, 'id' | 'entries'>): EntrySettings['entries'] {
  return entries.filter((other) => other.id > id);
}

class LinkMesh implements EntryLinks {
  readonly #server: LinkServer;

  readonly #dialers: Dialer[];

  address = '';

  constructor(common: LinkOptions, settings: EntrySettings) {
    this.#server = new LinkServer({ ...common, listen: settings.listenLink });
    this.#dialers = entriesToDial(settings).map(
      ({ id, address }) => new Dialer({ ...common, address, expectId: id }),
    );
  }

  async start(): Promise<void> {
    this.address = await this.#server.start();
    this.#dialers.forEach((dialer) => dialer.start());
  }

  async close(): Promise<void> {
    this.#dialers.forEach((dialer) => dialer.close());
    await this.#server.close();
  }
}

/** Makes links over the network, for `EntryOptions.links`. */
export function linkMesh({ onBundleVersion }: LinkMeshOptions = {}): EntryLinksFactory {
  return ({ ctx, settings, handlers, bundleVersion, onPeer }) => {
    const common: LinkOptions = {
      ctx,
      keys: settings.linkKeys,
      handlers,
      heartbeat: settings.heartbeat,
      bundleVersion,
      onPeer: (link) => {
        watchLink(link, ctx);
        onPeer(link);
      },
      ...(onBundleVersion === undefined ? {} : { onBundleVersion }),
    };
    return new LinkMesh(common, settings);
  };
}

/** Notes a link's end on the time line; its start is noted by whom it matters to. */
function watchLink(link: Link, { timeline }: LinkOptions['ctx']): void {
  timeline.record('link.up', link.process.id, { incarnation: link.process.incarnation });
  void link.ended.then((why) => timeline.record('link.down', link.process.id, { why }));
}
