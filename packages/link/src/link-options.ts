/** Options, limits and close reasons that the link server and the dialer share. */
import type { Handlers, ProcessContext, ProcessId } from '@zincspan/core';
import type { Link } from './link.js';

/** Why a link ended. */
export type CloseReason =
  | 'closed'
  | 'closed-by-peer'
  | 'silence'
  | 'garbled'
  | 'oversized'
  | 'overflow'
  | 'not-authentic'
  | 'wrong-peer'
  | 'handshake-timeout'
  | 'superseded'
  | 'stale-incarnation'
  | 'too-many'
  | 'unreachable';

/** Why a link or connection was closed; counted as `link.closed.<reason>`. */
export class LinkCloseError extends Error {
  readonly reason: CloseReason;

  constructor(reason: CloseReason, detail: string) {
    super(detail);
    this.name = 'LinkCloseError';
    this.reason = reason;
  }
}

/** Limits of one link, and of the handshakes of a server. */
export interface LinkLimits {
  /** Outstanding calls in each direction. */
  maxCallsInFlight: number;
  /** Bytes that may be queued for the network; above this, no further frames are sent. */
  maxBufferedBytes: number;
  handshakeTimeoutMs: number;
  /** Connections of a server that are not authenticated yet. */
  maxUnauthenticated: number;
  /** Default timeout of a call. */
  callTimeoutMs: number;
}

export const DEFAULT_LINK_LIMITS: LinkLimits = {
  maxCallsInFlight: 1024,
  maxBufferedBytes: 16 * 1_048_576,
  handshakeTimeoutMs: 2000,
  maxUnauthenticated: 64,
  callTimeoutMs: 30_000,
};

/** Runs a callback from the options. An exception in it is logged and must not end the link. */
export function callHook(ctx: ProcessContext, hook: () => void): void {
  try {
    hook();
  } catch (err) {
    ctx.metrics.count('link.hook.failed');
    ctx.log.error({ err }, 'link callback threw an exception');
  }
}

/** Options of both the link server and the dialer. */
export interface LinkOptions {
  ctx: ProcessContext;
  /** Shared link keys, newest first; a peer may prove any of them. */
  keys: string[];
  handlers: Handlers;
  heartbeat: { everyMs: number; silenceMs: number };
  /** Called when a link has been authenticated. `link.ended` settles when it is over. */
  onPeer?: (link: Link) => void;
  /** Called with the peer's bundle version on each of its heartbeats. */
  onBundleVersion?: (link: Link, version: number) => void;
  /** Bundle version to send in heartbeats. */
  bundleVersion?: () => number;
  /** Small status object to send to this peer in heartbeats. */
  status?: (peer: ProcessId) => Record<string, unknown>;
  /**
   * True if the peer needs the status at every heartbeat interval. Otherwise other frames postpone heartbeats, so that a busy link
   * sends none.
   */
  needsStatus?: (peer: ProcessId) => boolean;
  limits?: Partial<LinkLimits>;
  /** When this process started by its wall clock, in ms. */
  bornAt?: number;
}
