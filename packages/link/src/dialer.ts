/** Keeps a link to one address: when it ends, dials again on a new connection. */
import type { IncomingMessage } from 'node:http';
import { WebSocket } from 'ws';
import type { ProcessId } from '@zincspan/core';
import { MAX_FRAME_BYTES, MAX_MESSAGE_FRAGMENTS } from './frame.js';
import { runDialerHandshake } from './handshake.js';
import { Link } from './link.js';
import {
  DEFAULT_LINK_LIMITS,
  LinkCloseError,
  callHook,
  type LinkLimits,
  type LinkOptions,
} from './link-options.js';
import { FrameSocket } from './frame-socket.js';

/** Delays between dials. The first redial after a link that stayed up longer than `maxMs` is immediate. */
export interface RedialBackoff {
  firstMs: number;
  maxMs: number;
}

export interface DialerOptions extends LinkOptions {
  /** `IP:port`. */
  address: string;
  /** Id of the process at the address; any other is refused. */
  expectId?: string;
  backoff?: Partial<RedialBackoff>;
  /** Source of jitter, 0 to 1; Math.random by default. */
  random?: () => number;
}

const DEFAULT_REDIAL_BACKOFF: RedialBackoff = { firstMs: 50, maxMs: 2000 };

/** Dials and redials until it is closed. */
export class Dialer {
  readonly #options: DialerOptions;

  readonly #limits: LinkLimits;

  readonly #backoff: RedialBackoff;

  #link: Link | undefined;

  #endConnection: ((closeError: LinkCloseError) => void) | undefined;

  #redialTimer: NodeJS.Timeout | undefined;

  #handshakeTimer: NodeJS.Timeout | undefined;

  #failures = 0;

  #linkUpAt = 0;

  #closed = false;

  constructor(options: DialerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_LINK_LIMITS, ...options.limits };
    this.#backoff = { ...DEFAULT_REDIAL_BACKOFF, ...options.backoff };
  }

  /** The open link, if there is one. */
  get link(): Link | undefined {
    return this.#link;
  }

  start(): void {
    this.#dial();
  }

  /** Ends the link and stops dialling. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#redialTimer);
    if (this.#link) this.#link.close();
    else this.#endConnection?.(new LinkCloseError('unreachable', 'The dialer was closed.'));
  }

  #dial(): void {
    let socket: WebSocket;
    try {
      socket = new WebSocket(`ws://${this.#options.address}/`, {
        perMessageDeflate: false,
        maxPayload: MAX_FRAME_BYTES,
        maxFragments: MAX_MESSAGE_FRAGMENTS,
      });
    } catch (err) {
      // Thrown for an address that no connection can have, such as one with a port out of range. It may come from a stored row.
      this.#handleEnd(new LinkCloseError('unreachable', String(err)));
      return;
    }
    let state: 'dialling' | 'upgraded' | 'over' = 'dialling';
    const end = (closeError: LinkCloseError): void => {
      if (state === 'over') return;
      state = 'over';
      clearTimeout(this.#handshakeTimer);
      if (closeError.reason !== 'closed') socket.terminate();
      this.#handleEnd(closeError);
    };
    this.#endConnection = end;
    this.#handshakeTimer = setTimeout(
      () => end(new LinkCloseError('handshake-timeout', 'The handshake timed out.')),
      this.#limits.handshakeTimeoutMs,
    );
    // After the upgrade the frame socket reports errors, with a more exact reason.
    socket.on('error', ({ message }) => {
      if (state === 'dialling') end(new LinkCloseError('unreachable', message));
    });
    socket.on('upgrade', (res: IncomingMessage) => {
      state = 'upgraded';
      res.socket.setNoDelay(true);
      this.#startHandshake(socket, res, end);
    });
  }

  #startHandshake(
    ws: WebSocket,
    { socket: transport }: IncomingMessage,
    end: (closeError: LinkCloseError) => void,
  ): void {
    const { ctx, keys, bornAt = performance.timeOrigin, expectId } = this.#options;
    const socket = new FrameSocket({
      socket: ws,
      transport,
      maxBufferedBytes: this.#limits.maxBufferedBytes,
      onEnd: end,
    });
    runDialerHandshake(socket, { self: ctx.self, bornAt, keys }, (process) => {
      if (expectId !== undefined && process.id !== expectId) {
        throw new LinkCloseError(
          'wrong-peer',
          `Expected process ${expectId}, but ${process.id} answered.`,
        );
      }
      clearTimeout(this.#handshakeTimer);
      this.#openLink(socket, process);
    });
  }

  #openLink(socket: FrameSocket, process: ProcessId): void {
    this.#linkUpAt = this.#options.ctx.clock.now();
    this.#link = new Link({ options: this.#options, limits: this.#limits, socket, process });
    this.#options.ctx.metrics.count('link.dialled');
    const { ctx, onPeer } = this.#options;
    const link = this.#link;
    callHook(ctx, () => onPeer?.(link));
  }

  #handleEnd(closeError: LinkCloseError): void {
    this.#options.ctx.metrics.count(`link.closed.${closeError.reason}`);
    this.#endConnection = undefined;
    const link = this.#link;
    this.#link = undefined;
    link?.handleEnd(closeError);
    if (this.#closed) return;
    const upMs = link === undefined ? 0 : this.#options.ctx.clock.now() - this.#linkUpAt;
    this.#redialTimer = setTimeout(() => this.#dial(), this.#redialDelayMs(upMs));
  }

  /** A link that stayed up is redialled at once; failed dials and short-lived links back off exponentially. */
  #redialDelayMs(upMs: number): number {
    const { firstMs, maxMs } = this.#backoff;
    if (upMs > maxMs) {
      this.#failures = 0;
      return 0;
    }
    const ceiling = Math.min(maxMs, firstMs * 2 ** Math.min(this.#failures, 16));
    this.#failures += 1;
    return ceiling * (0.5 + (this.#options.random ?? Math.random)() / 2);
  }
}
