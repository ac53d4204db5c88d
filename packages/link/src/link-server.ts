/** Accepts links from dialers. */
import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { WebSocketServer, type WebSocket } from 'ws';
import { AcceptedPeers } from './accepted-peers.js';
import { listenOn } from './listen.js';
import { MAX_FRAME_BYTES, type Proof } from './frame.js';
import { challenge } from './handshake.js';
import { Link } from './link.js';
import {
  DEFAULT_LIMITS,
  LinkFault,
  callHook,
  type LinkLimits,
  type LinkOptions,
} from './options.js';
import { FrameSocket } from './socket.js';

/** Listens on `listen` (`IP:port`, port 0 for any). */
export interface LinkServerOptions extends LinkOptions {
  listen: string;
}

const GOODBYE_MS = 1000;

/** A listener whose links are all authenticated before they count. */
export class LinkServer {
  readonly #options: LinkServerOptions;

  readonly #limits: LinkLimits;

  readonly #http: Server;

  readonly #sockets: WebSocketServer;

  readonly #accepted = new AcceptedPeers();

  /** Connections that haven't proved themselves. */
  readonly #unproved = new Set<Socket>();

  readonly #connections = new Set<Socket>();

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits };
    this.#http = createServer((_req, res) => {
      res.writeHead(426).end();
    });
    this.#sockets = new WebSocketServer({
      server: this.#http,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      clientTracking: false,
    });
    this.#http.on('connection', (socket: Socket) => this.#admit(socket));
    // It repeats the HTTP server's errors, which `start` reports.
    this.#sockets.on('error', () => undefined);
    this.#sockets.on('connection', (socket, req) => this.#shakeHands(socket, req.socket));
  }

  /** Starts to listen; answers the address. */
  start(): Promise<string> {
    return listenOn(this.#http, this.#options.listen);
  }

  /** Live links. */
  links(): Link[] {
    return this.#accepted.links();
  }

  /** Closes all links and stops listening. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => {
      this.#http.close(resolve);
    });
    this.links().forEach((link) => link.close());
    this.#unproved.forEach((socket) => socket.destroy());
    // A silent peer doesn't answer the goodbye.
    const timer = setTimeout(
      () => this.#connections.forEach((socket) => socket.destroy()),
      GOODBYE_MS,
    );
    await closed;
    clearTimeout(timer);
  }

  #admit(socket: Socket): void {
    if (this.#unproved.size >= this.#limits.unauthenticated) {
      this.#count(new LinkFault('too-many', 'Too many connections are in their handshake.'));
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    this.#connections.add(socket);
    this.#unproved.add(socket);
    const timer = setTimeout(() => {
      if (!this.#unproved.has(socket)) return;
      this.#count(new LinkFault('handshake-timeout', 'The handshake took too long.'));
      socket.destroy();
    }, this.#limits.handshakeMs);
    socket.once('close', () => {
      clearTimeout(timer);
      this.#unproved.delete(socket);
      this.#connections.delete(socket);
    });
  }

  #shakeHands(ws: WebSocket, transport: Socket): void {
    let link: Link | undefined;
    const socket = new FrameSocket({
      socket: ws,
      transport,
      outgoingBytes: this.#limits.outgoingBytes,
      onEnd: (fault) => {
        this.#count(fault);
        link?.handleEnd(fault);
      },
    });
    const { ctx, keys, bornAt = performance.timeOrigin } = this.#options;
    challenge(
      socket,
      { self: ctx.self, keys, bornAt },
      {
        check: (proof) => this.#accepted.check(proof.process, proof.bornAt),
        onUp: (proof) => {
          this.#unproved.delete(transport);
          link = this.#open(socket, proof);
        },
      },
    );
  }

  #open(socket: FrameSocket, { process, bornAt }: Proof): Link {
    const link = new Link({ options: this.#options, limits: this.#limits, socket, process });
    this.#accepted.put(link, bornAt);
    this.#options.ctx.metrics.count('link.accepted');
    callHook(this.#options.ctx, () => this.#options.onPeer?.(link));
    return link;
  }

  #count({ reason, message }: LinkFault): void {
    this.#options.ctx.metrics.count(`link.closed.${reason}`);
    if (reason === 'not-authentic') this.#options.ctx.log.warn({ reason }, message);
  }
}
