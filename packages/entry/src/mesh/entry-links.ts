/** What an entry needs of its links, so that it can be composed with real ones or with none. */
import type { EntrySettings, Handlers, Peer, ProcessContext } from '@zincspan/core';

/** Listens for guards and entries, and dials entries. */
export interface EntryLinks {
  start(): Promise<void>;
  close(): Promise<void>;
}

/** Makes the links. `onPeer` is called with each new live link, whichever end dialled. */
export type EntryLinksFactory = (options: {
  ctx: ProcessContext;
  settings: EntrySettings;
  handlers: Handlers;
  onPeer: (peer: Peer) => void;
}) => EntryLinks;
