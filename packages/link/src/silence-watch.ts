/** Beats on an idle link and notices when the other end falls silent. */
import type { Clock } from '@zincspan/core';

/** What a watch needs. Times in ms. */
export interface SilenceWatchOptions {
  clock: Clock;
  everyMs: number;
  silenceMs: number;
  /** Bytes received so far: any growth is a sign of life, so a long frame on a slow path counts. */
  bytesRead: () => number;
  beat: () => void;
  /** Called at each look, at least twice within `everyMs`. */
  onTick?: () => void;
  onSilence: (ms: number) => void;
}

/** Runs until `stop`. */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;

  readonly #tickMs: number;

  readonly #timer: NodeJS.Timeout;

  #bytes: number;

  #heardAt: number;

  #sentAt: number;

  #tickedAt: number;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
    const now = options.clock.now();
    this.#bytes = options.bytesRead();
    this.#heardAt = now;
    this.#sentAt = now;
    this.#tickedAt = now;
    this.#tickMs = Math.max(10, Math.min(options.everyMs / 2, options.silenceMs / 4));
    this.#timer = setInterval(() => this.#tick(), this.#tickMs);
  }

  /** Something was sent, so no heartbeat is due for a while. */
  sent(): void {
    this.#sentAt = this.#options.clock.now();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const { clock, everyMs, silenceMs, bytesRead, beat, onSilence, onTick } = this.#options;
    const now = clock.now();
    const overslept = now - this.#tickedAt > silenceMs / 2 + this.#tickMs;
    this.#tickedAt = now;
    if (bytesRead() !== this.#bytes) {
      this.#bytes = bytesRead();
      this.#heardAt = now;
    }
    if (now - this.#sentAt >= everyMs) beat();
    onTick?.();
    // After a stall of this process unread bytes may wait in the socket: look again at the next tick.
    if (overslept || now - this.#heardAt <= silenceMs) return;
    onSilence(now - this.#heardAt);
  }
}
