/** Links to all entries in the settings; the guard dials, as entries don't know it beforehand. */
import {
  LinkError,
  type GuardSettings,
  type Handlers,
  type Method,
  type MethodReq,
  type MethodRes,
  type Peer,
  type ProcessContext,
} from '@zincspan/core';
import { Dialer, type Link } from '@zincspan/link';

/** What the links need beside the settings. */
export interface EntryLinksOptions {
  ctx: ProcessContext;
  settings: GuardSettings;
  handlers: Handlers;
  bundleVersion?: () => number;
  onBundleVersion?: (peer: Peer, version: number) => void;
}

/** One dialer for each entry. */
export class EntryLinks {
  readonly #options: EntryLinksOptions;

  readonly #dialers = new Map<string, Dialer>();

  readonly #onUp: ((link: Link) => void)[] = [];

  constructor(options: EntryLinksOptions) {
    this.#options = options;
  }

  /** Told of each link that comes up. Register before `start`. */
  onUp(fn: (link: Link) => void): void {
    this.#onUp.push(fn);
  }

  start(): void {
    const { ctx, settings, handlers, bundleVersion, onBundleVersion } = this.#options;
    settings.entries.forEach(({ id, address }) => {
      const dialer = new Dialer({
        ctx,
        address,
        expectId: id,
        keys: settings.linkKeys,
        heartbeat: settings.heartbeat,
        handlers,
        onPeer: (link) => this.#noteUp(link),
        ...(bundleVersion ? { bundleVersion } : {}),
        ...(onBundleVersion ? { onBundleVersion } : {}),
      });
      this.#dialers.set(id, dialer);
      dialer.start();
    });
  }

  /** Live links. */
  links(): Link[] {
    return [...this.#dialers.values()].flatMap(({ link }) => (link ? [link] : []));
  }

  /** Ids of the entries that are linked now. */
  linked(): string[] {
    return [...this.#dialers].flatMap(([id, { link }]) => (link ? [id] : []));
  }

  /** Calls one entry. Rejects with LinkError `not-sent` if it isn't linked. */
  async call<M extends Method>(
    id: string,
    method: M,
    req: MethodReq<M>,
    timeoutMs = 2000,
  ): Promise<MethodRes<M>> {
    const link = this.#dialers.get(id)?.link;
    if (!link) throw new LinkError('not-sent', `Entry ${id} isn't linked.`);
    return link.call(method, req, { timeoutMs });
  }

  close(): void {
    this.#dialers.forEach((dialer) => dialer.close());
  }

  #noteUp(link: Link): void {
    const { ctx } = this.#options;
    ctx.timeline.record('link.up', link.process.id, { incarnation: link.process.incarnation });
    void link.ended.then((reason) => ctx.timeline.record('link.down', link.process.id, { reason }));
    this.#onUp.forEach((fn) => fn(link));
  }
}
