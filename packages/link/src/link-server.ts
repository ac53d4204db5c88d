/** Server end of links: listens for dialers. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { WebSocketServer, type WebSocket } from 'ws';
import { AcceptedPeers } from './accepted-peers.js';
import { BoundedServer } from './http/bounded-server.js';
import { listenOn } from './listen.js';
import { MAX_FRAME_BYTES, MAX_MESSAGE_FRAGMENTS, type Proof } from './frame.js';
import { runServerHandshake } from './handshake.js';
import { Link } from './link.js';
import {
  DEFAULT_LINK_LIMITS,
  LinkCloseError,
  callHook,
  type LinkLimits,
  type LinkOptions,
} from './link-options.js';
import { FrameSocket } from './frame-socket.js';

export interface LinkServerOptions extends LinkOptions {
  /** `IP:port`; port 0 for any free one. */
  listen: string;
}

const CLOSE_TIMEOUT_MS = 1000;

/** Upgrade request and proof are far shorter. Without this a client without a key could send a frame of the maximum size. */
const MAX_HANDSHAKE_BYTES = 32_768;

/** For requests on connections that are not upgraded. */
const HTTP_MEMORY_BYTES = 4 * 1_048_576;

/** Accepts connections; each becomes a link only once it is authenticated. */
export class LinkServer {
  readonly #options: LinkServerOptions;

  readonly #limits: LinkLimits;

  readonly #httpServer: Server;

  readonly #webSocketServer: WebSocketServer;

  readonly #acceptedPeers = new AcceptedPeers();

  /** Connections that are not authenticated yet. */
  readonly #unauthenticated = new Set<Socket>();

  readonly #connections = new Set<Socket>();

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_LINK_LIMITS, ...options.limits };
    this.#httpServer = new BoundedServer(
      {
        limits: {
          maxConnections: Infinity, // Limited by `maxUnauthenticated`.
          maxMemoryBytes: HTTP_MEMORY_BYTES,
        },
        metrics: options.ctx.metrics,
      },
      (_req, res) => res.writeHead(426).end(),
    );
    this.#webSocketServer = new WebSocketServer({
      server: this.#httpServer,
      maxPayload: MAX_FRAME_BYTES,
      maxFragments: MAX_MESSAGE_FRAGMENTS,
      perMessageDeflate: false,
      clientTracking: false,
    });
    this.#httpServer.on('connection', (socket: Socket) => this.#trackConnection(socket));
    // The WebSocket server repeats the errors of the HTTP server, which `start` reports.
    this.#webSocketServer.on('error', () => undefined);
    this.#webSocketServer.on('connection', (socket, req) =>
      this.#startHandshake(socket, req.socket),
    );
  }

  /** Starts listening; returns the address with the bound port. */
  start(): Promise<string> {
    return listenOn(this.#httpServer, this.#options.listen);
  }

  /** Open links. */
  links(): Link[] {
    return this.#acceptedPeers.links();
  }

  /** Closes all links and stops listening. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => {
      this.#httpServer.close(resolve);
    });
    this.links().forEach((link) => link.close());
    this.#unauthenticated.forEach((socket) => socket.destroy());
    // A silent peer doesn't answer the close frame.
    const timer = setTimeout(
      () => this.#connections.forEach((socket) => socket.destroy()),
      CLOSE_TIMEOUT_MS,
    );
    await closed;
    clearTimeout(timer);
  }

  #trackConnection(socket: Socket): void {
    // A peer authenticates within milliseconds: the oldest connection is the one that stalls.
    const [oldest] = this.#unauthenticated;
    if (oldest !== undefined && this.#unauthenticated.size >= this.#limits.maxUnauthenticated) {
      this.#countClose(
        new LinkCloseError('too-many', 'Too many connections are not authenticated yet.'),
      );
      this.#unauthenticated.delete(oldest);
      oldest.destroy();
    }
    socket.setNoDelay(true);
    this.#connections.add(socket);
    this.#unauthenticated.add(socket);
    const timer = setTimeout(() => {
      if (!this.#unauthenticated.has(socket)) return;
      this.#countClose(new LinkCloseError('handshake-timeout', 'The handshake timed out.'));
      socket.destroy();
    }, this.#limits.handshakeTimeoutMs);
    socket.once('close', () => {
      clearTimeout(timer);
      this.#unauthenticated.delete(socket);
      this.#connections.delete(socket);
    });
  }

  #startHandshake(ws: WebSocket, transport: Socket): void {
    let link: Link | undefined;
    const socket = new FrameSocket({
      socket: ws,
      transport,
      maxBufferedBytes: this.#limits.maxBufferedBytes,
      onEnd: (closeError) => {
        this.#countClose(closeError);
        link?.handleEnd(closeError);
      },
    });
    const checkLength = (): void => {
      if (transport.bytesRead <= MAX_HANDSHAKE_BYTES) return;
      socket.end(new LinkCloseError('oversized', 'The handshake is too long.'));
    };
    transport.prependListener('data', checkLength);
    const { ctx, keys, bornAt = performance.timeOrigin } = this.#options;
    runServerHandshake(
      socket,
      { self: ctx.self, keys, bornAt },
      {
        check: (proof) => this.#acceptedPeers.checkIncarnation(proof.process, proof.bornAt),
        onAuthenticated: (proof) => {
          transport.off('data', checkLength);
          this.#unauthenticated.delete(transport);
          link = this.#openLink(socket, proof);
        },
      },
    );
  }

  #openLink(socket: FrameSocket, { process, bornAt }: Proof): Link {
    const link = new Link({ options: this.#options, limits: this.#limits, socket, process });
    this.#acceptedPeers.acceptLink(link, bornAt);
    this.#options.ctx.metrics.count('link.accepted');
    callHook(this.#options.ctx, () => this.#options.onPeer?.(link));
    return link;
  }

  #countClose({ reason, message }: LinkCloseError): void {
    this.#options.ctx.metrics.count(`link.closed.${reason}`);
    if (reason === 'not-authentic') this.#options.ctx.log.warn({ reason }, message);
  }
}
