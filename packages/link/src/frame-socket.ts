/** Sends and receives frames over one WebSocket, within limits in both directions. */
import type { Duplex } from 'node:stream';
import type { WebSocket } from 'ws';
import { MAX_FRAME_BYTES, decodeFrame, encodeFrame } from './frame.js';
import { LinkCloseError } from './link-options.js';
import type { Traffic } from './traffic.js';

export interface FrameSocketOptions {
  socket: WebSocket;
  /** The underlying TCP connection, for its byte counts. */
  transport: Duplex;
  /** Bytes that may be queued for the network; above this, no further frames are sent. */
  maxBufferedBytes: number;
  /** Called once. */
  onEnd: (closeError: LinkCloseError) => void;
}

/** Result of sending a frame. `full`: more than `maxBufferedBytes` are waiting to be written. */
export type SendResult = 'sent' | 'closed' | 'full' | 'too-long';

/** Error code of ws for a message over its `maxPayload`. */
const WS_MESSAGE_TOO_LONG = 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH';

export class FrameSocket {
  #onFrame: ((frame: unknown) => void) | undefined;

  readonly #socket: WebSocket;

  readonly #transport: Duplex & { bytesRead?: number; bytesWritten?: number };

  readonly #frames = { framesIn: 0, framesOut: 0 };

  readonly #maxBufferedBytes: number;

  readonly #onEnd: (closeError: LinkCloseError) => void;

  #ended = false;

  constructor({ socket, transport, maxBufferedBytes, onEnd }: FrameSocketOptions) {
    this.#socket = socket;
    this.#transport = transport;
    this.#maxBufferedBytes = maxBufferedBytes;
    this.#onEnd = onEnd;
    socket.on('message', (data: Buffer, isBinary) => this.#handleMessage(data, isBinary));
    socket.on('error', (err: Error & { code?: string }) => this.end(toCloseError(err)));
    socket.on('close', () =>
      this.end(new LinkCloseError('closed-by-peer', 'The peer closed the connection.')),
    );
  }

  /** Frames and bytes so far, including the handshake. */
  get traffic(): Traffic {
    const { bytesRead = 0, bytesWritten = 0 } = this.#transport;
    return { ...this.#frames, bytesIn: bytesRead, bytesOut: bytesWritten };
  }

  /** Bytes received so far; a peer is silent while this doesn't grow. */
  get bytesRead(): number {
    return this.#transport.bytesRead ?? 0;
  }

  get ended(): boolean {
    return this.#ended;
  }

  /** Replaces the handler of received frames. It may throw LinkCloseError to end the connection. */
  setFrameHandler(onFrame: (frame: unknown) => void): void {
    this.#onFrame = onFrame;
  }

  /** Writes a frame. Any result but `sent` guarantees that it was not sent. */
  send(frame: object): SendResult {
    if (this.#ended || this.#socket.readyState !== this.#socket.OPEN) return 'closed';
    if (this.#socket.bufferedAmount > this.#maxBufferedBytes) return 'full';
    const bytes = encodeFrame(frame);
    if (bytes.byteLength > MAX_FRAME_BYTES) return 'too-long';
    this.#socket.send(bytes);
    this.#frames.framesOut += 1;
    return 'sent';
  }

  /** Ends the connection at once, without waiting for the peer. */
  end(closeError: LinkCloseError): void {
    if (this.#ended) return;
    this.#ended = true;
    // A graceful close flushes what was written; in all other cases a silent peer must not hold the socket open.
    if (closeError.reason === 'closed') this.#socket.close(1000);
    else this.#socket.terminate();
    this.#onEnd(closeError);
  }

  #handleMessage(data: Buffer, isBinary: boolean): void {
    if (this.#ended) return;
    this.#frames.framesIn += 1;
    try {
      if (!isBinary) throw new LinkCloseError('garbled', 'Expected a binary message, got text.');
      this.#onFrame?.(decodeFrame(data));
    } catch (err) {
      this.end(err instanceof LinkCloseError ? err : new LinkCloseError('garbled', String(err)));
    }
  }
}

function toCloseError(err: Error & { code?: string }): LinkCloseError {
  if (err.code === WS_MESSAGE_TOO_LONG) return new LinkCloseError('oversized', err.message);
  if (err.code?.startsWith('WS_ERR')) return new LinkCloseError('garbled', err.message);
  return new LinkCloseError('closed-by-peer', err.message);
}
