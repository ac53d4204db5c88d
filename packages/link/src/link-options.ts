/** What a link server and a dialer are built from. */
import type { Handlers, ProcessContext } from '@zincspan/core';
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

/** Typed error of a link's end; counted as `link.closed.<reason>`. */
export class LinkCloseError extends Error {
  readonly reason: CloseReason;

  constructor(reason: CloseReason, detail: string) {
    super(detail);
    this.name = 'LinkFault';
    this.reason = reason;
  }
}

/** Bounds of one link. */
export interface LinkLimits {
  /** Calls without an answer yet, each way. */
  maxCallsInFlight: number;
  /** Bytes written but not yet taken by the network. */
  maxBufferedBytes: number;
  /** Longest handshake, in ms. */
  handshakeTimeoutMs: number;
  /** Connections of a server that haven't proved themselves yet. */
  maxUnauthenticated: number;
  /** A call without a timeout of its own, in ms. */
  callTimeoutMs: number;
}

export const DEFAULT_LINK_LIMITS: LinkLimits = {
  maxCallsInFlight: 1024,
  maxBufferedBytes: 16 * 1_048_576,
  handshakeTimeoutMs: 2000,
  maxUnauthenticated: 64,
  callTimeoutMs: 30_000,
};

/** Calls a hook of the link's user. What it throws is its own fault and must not end the link. */
export function callHook(ctx: ProcessContext, hook: () => void): void {
  try {
    hook();
  } catch (err) {
    ctx.metrics.count('link.hook.failed');
    ctx.log.error({ err }, 'a hook of the link failed');
  }
}

/** Common to both ends. */
export interface LinkOptions {
  ctx: ProcessContext;
  /** Shared secrets, newest first; any of them is accepted. */
  keys: string[];
  handlers: Handlers;
  heartbeat: { everyMs: number; silenceMs: number };
  /** A link is up and authenticated. `link.ended` tells when it is over. */
  onPeer?: (link: Link) => void;
  /** The peer's bundle version, from each of its heartbeats. */
  onBundleVersion?: (link: Link, version: number) => void;
  /** Own bundle version, told in heartbeats. */
  bundleVersion?: () => number;
  /** Small status told in heartbeats. */
  status?: () => Record<string, unknown>;
  limits?: Partial<LinkLimits>;
  /** When this process started by its calendar, in ms. */
  bornAt?: number;
}
