/** Sends heartbeats on an idle link and detects when the peer falls silent. */
import type { Clock } from '@zincspan/core';

/** Times in ms. */
export interface KeepAliveOptions {
  clock: Clock;
  everyMs: number;
  silenceMs: number;
  /** Bytes received so far. Any growth counts as a sign of life, so that a long frame on a slow network does too. */
  bytesRead: () => number;
  sendHeartbeat: () => void;
  /** Called at each check, usually at least twice per `everyMs`. */
  onTick?: () => void;
  onSilence: (ms: number) => void;
}

/** Runs until `stop`. */
export class KeepAlive {
  readonly #options: KeepAliveOptions;

  readonly #tickMs: number;

  readonly #timer: NodeJS.Timeout;

  #lastBytesRead: number;

  #lastReceivedAt: number;

  #lastSentAt: number;

  #lastTickAt: number;

  constructor(options: KeepAliveOptions) {
    this.#options = options;
    const now = options.clock.now();
    this.#lastBytesRead = options.bytesRead();
    this.#lastReceivedAt = now;
    this.#lastSentAt = now;
    this.#lastTickAt = now;
    this.#tickMs = Math.max(10, Math.min(options.everyMs / 2, options.silenceMs / 4));
    this.#timer = setInterval(() => this.#tick(), this.#tickMs);
  }

  /** Records that a frame was sent, which postpones the next heartbeat. */
  noteSent(): void {
    this.#lastSentAt = this.#options.clock.now();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const { clock, everyMs, silenceMs, bytesRead, sendHeartbeat, onSilence, onTick } =
      this.#options;
    const now = clock.now();
    const stalled = now - this.#lastTickAt > silenceMs / 2 + this.#tickMs;
    this.#lastTickAt = now;
    if (bytesRead() !== this.#lastBytesRead) {
      this.#lastBytesRead = bytesRead();
      this.#lastReceivedAt = now;
    }
    if (now - this.#lastSentAt >= everyMs) sendHeartbeat();
    onTick?.();
    // After a stall of this process, unread bytes may be waiting in the socket: check again at the next tick.
    if (stalled || now - this.#lastReceivedAt <= silenceMs) return;
    onSilence(now - this.#lastReceivedAt);
  }
}
