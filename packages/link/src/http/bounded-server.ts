/** HTTP server whose clients can't exhaust the memory or the descriptors of its process. */
import { Server, type RequestListener, type ServerOptions, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Metrics } from '@zincspan/core';
import { BoundedRequest } from './bounded-request.js';
import { ConnectionTable, type ExceededLimit } from './connection-table.js';
import { HttpConnection } from './http-connection.js';
import type { HttpLimits } from './http-limits.js';
import { TurnQueue } from './turn-queue.js';

/** Estimated memory of a request that isn't answered yet, beside its body. */
const REQUEST_BYTES = 16_384;

/** Further fields of a header are ignored. */
const MAX_HEADER_FIELDS = 100;

const HEADERS_TIMEOUT_MS = 10_000;

/** For a whole request. A server that reads bodies may end them sooner. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Interval between checks of these time-outs. */
const TIMEOUT_CHECK_MS = 2000;

const RETRY_AFTER_S = 1;

/** Written to a client whose request was still arriving: it has not been handled. */
const REFUSAL = [
  'HTTP/1.1 503 Service Unavailable',
  `Retry-After: ${RETRY_AFTER_S}`,
  'Connection: close',
  'Content-Length: 0',
  '\r\n',
].join('\r\n');

/** Requests with these methods are handled only once their bodies are complete. */
const METHODS_WITH_BODY = new Set(['POST', 'PUT', 'PATCH']);

/** Events by which Node hands over a request with its response. */
const REQUEST_EVENTS = new Set(['request', 'checkContinue', 'checkExpectation']);

export interface BoundedServerOptions {
  limits: HttpLimits;
  metrics: Metrics;
  /** Node's own options, such as time-outs. */
  http?: Omit<ServerOptions, 'IncomingMessage' | 'requireHostHeader'>;
}

/**
 * Counts connections, unanswered requests and body bytes, and closes connections when they exceed a limit together. A connection with
 * several unanswered requests is not read until some of them are answered, and one that has sent much at once lets others have their
 * turns.
 */
export class BoundedServer extends Server {
  readonly #table: ConnectionTable<Socket>;

  readonly #metrics: Metrics;

  readonly #connections = new Map<Socket, HttpConnection>();

  readonly #turns = new TurnQueue();

  constructor({ limits, metrics, http }: BoundedServerOptions, onRequest?: RequestListener) {
    super({
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      ...http,
      IncomingMessage: BoundedRequest,
      // Checked here instead: Node's own check answers without the events by which requests are counted.
      requireHostHeader: false,
    });
    // An option of net.Server that http.Server doesn't pass on.
    Object.assign(this, { pauseOnConnect: true });
    this.#table = new ConnectionTable(limits);
    this.#metrics = metrics;
    this.maxHeadersCount = MAX_HEADER_FIELDS;
    this.on('connection', (socket: Socket) => this.#addConnection(socket));
    // Otherwise Node answers such requests uncounted, too.
    this.on('checkExpectation', (_req, res: ServerResponse) => res.writeHead(417).end());
    if (onRequest !== undefined) this.on('request', onRequest);
  }

  /** Hands a request over only if its connection is still open and within the limits. */
  override emit(event: string, ...args: unknown[]): boolean {
    if (REQUEST_EVENTS.has(event)) {
      const [req, res] = args as [BoundedRequest, ServerResponse];
      if (!this.#admit(req, res)) return true;
    }
    if (event !== 'upgrade') return super.emit(event, ...args);
    const [req, socket, head] = args as [BoundedRequest, Socket, Buffer];
    const unparsed = this.#connections.get(socket)?.leaveHttp(head) ?? head;
    // Whoever takes the connection over limits it.
    this.#removeConnection(socket);
    return super.emit(event, req, socket, unparsed);
  }

  #addConnection(socket: Socket): void {
    let waitingBytes = 0;
    const onWaiting = (bytes: number): void => {
      this.#table.change(socket, bytes - waitingBytes);
      waitingBytes = bytes;
      this.#enforceLimits();
    };
    this.#connections.set(socket, new HttpConnection({ socket, turns: this.#turns, onWaiting }));
    this.#table.add(socket);
    socket.once('close', () => this.#removeConnection(socket));
    this.#enforceLimits();
  }

  #removeConnection(socket: Socket): void {
    this.#connections.delete(socket);
    this.#table.remove(socket);
  }

  #admit(req: BoundedRequest, res: ServerResponse): boolean {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return false;
    connection.addRequest(req);
    this.#table.touch(socket);
    this.#table.change(socket, REQUEST_BYTES + req.receivedBytes);
    req.onBodyBytes = (bytes) => {
      this.#table.change(socket, bytes);
      this.#enforceLimits();
    };
    res.once('close', () => this.#release(connection, req));
    this.#enforceLimits();
    if (!this.#connections.has(socket)) return false;
    if (req.httpVersion !== '1.1' || req.headers.host !== undefined) return true;
    res.writeHead(400, { connection: 'close' }).end();
    return false;
  }

  #release(connection: HttpConnection, req: BoundedRequest): void {
    req.onBodyBytes = undefined;
    if (!connection.removeRequest(req)) return;
    this.#table.change(connection.socket, -REQUEST_BYTES - req.receivedBytes);
    this.#table.touch(connection.socket);
  }

  #enforceLimits(): void {
    for (
      let excess = this.#table.findExcess();
      excess !== undefined;
      excess = this.#table.findExcess()
    ) {
      this.#close(excess.connection, excess.limit);
    }
  }

  #close(socket: Socket, limit: ExceededLimit): void {
    this.#metrics.count(`http.closed.${limit}`);
    const requests = this.#connections.get(socket)?.requests ?? [];
    this.#removeConnection(socket);
    if (mayRefuse(socket, requests)) socket.write(REFUSAL);
    socket.destroy();
  }
}

/** True if the only outstanding request is still arriving, so that it surely was not handled. */
function mayRefuse(socket: Socket, [req, ...others]: readonly BoundedRequest[]): boolean {
  if (req === undefined || others.length > 0 || socket.writableLength > 0) return false;
  return !req.complete && METHODS_WITH_BODY.has(req.method ?? '');
}
