/** Keeps what the processes of a test log. */
import type { Log } from '@zincspan/core';

/** A line's fields, with its message, the process that wrote it, and when, on the host's monotonic clock in ms. */
export type LoggedLine = Record<string, unknown> & { msg: string; by: string; at: number };

/** Lines of all processes that were given its logger. */
export class LogRecorder {
  readonly lines: LoggedLine[] = [];

  /** For the context of the process with this name. */
  logFor(by: string): Log {
    const record = (fields: object, msg: string): void => {
      this.lines.push({ ...fields, msg, by, at: performance.now() });
    };
    return { info: record, warn: record, error: record };
  }

  /** All lines with this message, the oldest first. */
  withMessage(msg: string): LoggedLine[] {
    return this.lines.filter((line) => line.msg === msg);
  }
}
