/** Keeps one link to one address: dials, redials on a new connection when it ends. */
import type { IncomingMessage } from 'node:http';
import { WebSocket } from 'ws';
import type { ProcessId } from '@zincspan/core';
import { MAX_FRAME_BYTES } from './frame.js';
import { respond } from './handshake.js';
import { Link } from './link.js';
import {
  DEFAULT_LIMITS,
  LinkFault,
  callHook,
  type LinkLimits,
  type LinkOptions,
} from './options.js';
import { FrameSocket } from './socket.js';

/** Waits between dials, in ms. The first redial after a link that was up comes at once. */
export interface Backoff {
  firstMs: number;
  maxMs: number;
}

export interface DialerOptions extends LinkOptions {
  /** `IP:port`. */
  address: string;
  /** Refuses any other process at the address. */
  expectId?: string;
  backoff?: Partial<Backoff>;
  /** For jitter: 0 to 1. */
  random?: () => number;
}

const DEFAULT_BACKOFF: Backoff = { firstMs: 50, maxMs: 2000 };

/** Dials until it is closed. */
export class Dialer {
  readonly #options: DialerOptions;

  readonly #limits: LinkLimits;

  readonly #backoff: Backoff;

  #link: Link | undefined;

  #endAttempt: ((fault: LinkFault) => void) | undefined;

  #timer: NodeJS.Timeout | undefined;

  #handshakeTimer: NodeJS.Timeout | undefined;

  #failures = 0;

  #upSince = 0;

  #closed = false;

  constructor(options: DialerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits };
    this.#backoff = { ...DEFAULT_BACKOFF, ...options.backoff };
  }

  /** The live link, if there is one. */
  get link(): Link | undefined {
    return this.#link;
  }

  start(): void {
    this.#dial();
  }

  /** Ends the link and stops dialling. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#timer);
    if (this.#link) this.#link.close();
    else this.#endAttempt?.(new LinkFault('unreachable', 'The dialer was closed.'));
  }

  #dial(): void {
    const socket = new WebSocket(`ws://${this.#options.address}/`, {
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    let state: 'dialling' | 'upgraded' | 'over' = 'dialling';
    const end = (fault: LinkFault): void => {
      if (state === 'over') return;
      state = 'over';
      clearTimeout(this.#handshakeTimer);
      if (fault.reason !== 'closed') socket.terminate();
      this.#noteEnd(fault);
    };
    this.#endAttempt = end;
    this.#handshakeTimer = setTimeout(
      () => end(new LinkFault('handshake-timeout', 'The handshake took too long.')),
      this.#limits.handshakeMs,
    );
    // Once upgraded, the frame socket reports errors more closely.
    socket.on('error', ({ message }) => {
      if (state === 'dialling') end(new LinkFault('unreachable', message));
    });
    socket.on('upgrade', (res: IncomingMessage) => {
      state = 'upgraded';
      res.socket.setNoDelay(true);
      this.#shakeHands(socket, res, end);
    });
  }

  #shakeHands(
    ws: WebSocket,
    { socket: transport }: IncomingMessage,
    end: (fault: LinkFault) => void,
  ): void {
    const { ctx, keys, bornAt = performance.timeOrigin, expectId } = this.#options;
    const socket = new FrameSocket({
      socket: ws,
      transport,
      outgoingBytes: this.#limits.outgoingBytes,
      onEnd: end,
    });
    respond(socket, { self: ctx.self, bornAt, keys }, (process) => {
      if (expectId !== undefined && process.id !== expectId) {
        throw new LinkFault('wrong-peer', `Expected ${expectId}, found ${process.id}.`);
      }
      clearTimeout(this.#handshakeTimer);
      this.#open(socket, process);
    });
  }

  #open(socket: FrameSocket, process: ProcessId): void {
    this.#upSince = this.#options.ctx.clock.now();
    this.#link = new Link({ options: this.#options, limits: this.#limits, socket, process });
    this.#options.ctx.metrics.count('link.dialled');
    const { ctx, onPeer } = this.#options;
    const link = this.#link;
    callHook(ctx, () => onPeer?.(link));
  }

  #noteEnd(fault: LinkFault): void {
    this.#options.ctx.metrics.count(`link.closed.${fault.reason}`);
    this.#endAttempt = undefined;
    const link = this.#link;
    this.#link = undefined;
    link?.handleEnd(fault);
    if (this.#closed) return;
    const upMs = link === undefined ? 0 : this.#options.ctx.clock.now() - this.#upSince;
    this.#timer = setTimeout(() => this.#dial(), this.#nextWaitMs(upMs));
  }

  /** A link that held is redialled at once; one that falls again and again is not. */
  #nextWaitMs(upMs: number): number {
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
