/**
 * Reads one connection of an HTTP server in small steps. Node's parser hands over all requests of what it gets, whether earlier ones
 * are answered or not, and Node reads up to 64 KiB at once: that may hold 2,600 requests, or a body in 11,000 chunks.
 */
import type { Socket } from 'node:net';
import type { BoundedRequest } from './bounded-request.js';
import type { TurnQueue } from './turn-queue.js';

/** Unanswered requests above which a connection is not read. */
const MAX_UNANSWERED = 8;

/** Bytes that the parser gets at once; it can't be stopped within them. */
const STEP_BYTES = 256;

/** After that many bytes or requests, other connections have their turns. */
const TURN_BYTES = 4096;
const TURN_REQUESTS = 2;

type Parse = (bytes: Buffer) => void;

export interface HttpConnectionOptions {
  socket: Socket;
  turns: TurnQueue;
  /** Called with the estimated memory of what waits to be parsed when reading stops, and with 0 when it goes on. */
  onWaiting: (bytes: number) => void;
}

export class HttpConnection {
  readonly socket: Socket;

  readonly #turns: TurnQueue;

  readonly #onWaiting: (bytes: number) => void;

  /** Requests that aren't answered yet, in the order of their arrival. */
  readonly #requests = new Set<BoundedRequest>();

  /** Node's own listener, which runs the parser. */
  readonly #parse: Parse;

  readonly #onData = (bytes: Buffer): void => this.#read(bytes);

  /** What follows the bytes that the parser has got, while it runs. */
  #unparsed: Buffer = Buffer.alloc(0);

  #requestsThisTurn = 0;

  /** This class has stopped reading; Node does so, too, while responses wait to be written. */
  #isPaused = false;

  #isQueued = false;

  #isHttp = true;

  /** Takes a connection that hasn't been read over from Node's `connection` listener, which must have run. */
  constructor({ socket, turns, onWaiting }: HttpConnectionOptions) {
    this.socket = socket;
    this.#turns = turns;
    this.#onWaiting = onWaiting;
    const [parse] = socket.listeners('data');
    if (parse === undefined) throw new Error('Node has no parser on this connection.');
    this.#parse = parse as Parse;
    socket.off('data', this.#parse);
    socket.on('data', this.#onData);
    // Clients that connect at the same time are read one after the other, too.
    this.#isPaused = true;
    socket.pause();
    this.#queue();
  }

  get requests(): readonly BoundedRequest[] {
    return [...this.#requests];
  }

  addRequest(req: BoundedRequest): void {
    this.#requests.add(req);
    this.#requestsThisTurn += 1;
  }

  /** To be called when a request was answered. Returns false if it isn't outstanding. */
  removeRequest(req: BoundedRequest): boolean {
    const isKnown = this.#requests.delete(req);
    if (this.#isPaused) this.#queue();
    return isKnown;
  }

  /** To be called when the connection is upgraded. Returns the bytes that follow the request. */
  leaveHttp(head: Buffer): Buffer {
    this.#isHttp = false;
    this.socket.off('data', this.#onData);
    return Buffer.concat([head, this.#unparsed]);
  }

  #read(bytes: Buffer): void {
    // Node resumes the socket whenever a handler has taken part of a body, also before it is this connection's turn.
    if (this.#isPaused) {
      this.socket.pause();
      this.socket.unshift(bytes);
      return;
    }
    this.#unparsed = bytes;
    this.#requestsThisTurn = 0;
    while (this.#isHttp && this.#unparsed.length > 0 && !this.#hasEnded) {
      if (this.#isFull || this.#isTurnOver(bytes)) this.#pause(bytes);
      if (this.socket.isPaused()) {
        this.socket.unshift(this.#unparsed);
        break;
      }
      const step = this.#unparsed.subarray(0, STEP_BYTES);
      this.#unparsed = this.#unparsed.subarray(STEP_BYTES);
      this.#parse(step);
    }
    this.#unparsed = Buffer.alloc(0);
  }

  get #isFull(): boolean {
    return this.#requests.size >= MAX_UNANSWERED;
  }

  #isTurnOver(bytes: Buffer): boolean {
    const parsed = bytes.length - this.#unparsed.length;
    return parsed >= TURN_BYTES || this.#requestsThisTurn >= TURN_REQUESTS;
  }

  /** True if nothing that arrives is answered any more. */
  get #hasEnded(): boolean {
    return this.socket.destroyed || this.socket.writableEnded;
  }

  #pause(block: Buffer): void {
    this.socket.pause();
    if (!this.#isPaused) {
      this.#isPaused = true;
      // The rest of the block keeps all of it, and the kernel may have received as much again.
      this.#onWaiting(2 * block.buffer.byteLength);
    }
    this.#queue();
  }

  #queue(): void {
    if (this.#isQueued || this.#isFull) return;
    this.#isQueued = true;
    this.#turns.add(() => this.#resume());
  }

  #resume(): void {
    this.#isQueued = false;
    if (this.#isFull || this.socket.destroyed) return;
    this.#isPaused = false;
    this.#onWaiting(0);
    this.socket.resume();
  }
}
