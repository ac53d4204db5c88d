/** What an entry needs of its links, so that it can be composed with real ones or with none. */
import type { EntrySettings, Handlers, Peer, ProcessContext } from '@zincspan/core';

/** Listens for guards and entries, and dials entries. */
export interface EntryLinks {
  /** Where it listens, once started. */
  readonly address: string;
  start(): Promise<void>;
  close(): Promise<void>;
}

/** Makes the links. `onPeer` is called with each new live link, whichever end dialled. */
export type EntryLinksFactory = (options: {
  ctx: ProcessContext;
  settings: EntrySettings;
  handlers: Handlers;
  /** Told to peers with each heartbeat; 0 while no bundle is in force. */
  bundleVersion: () => number;
  onPeer: (peer: Peer) => void;
}) => EntryLinks;
