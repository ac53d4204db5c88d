/** Records the log lines of the processes of a test. */
import type { Log } from '@zincspan/core';

/** Fields of a log line, its message, the process that logged it, and the host's monotonic time in ms. */
export type LoggedLine = Record<string, unknown> & { msg: string; by: string; at: number };

/** Log lines of all processes that use its loggers. */
export class LogRecorder {
  readonly lines: LoggedLine[] = [];

  /** Logger for the context of the process with this name. */
  logFor(by: string): Log {
    const record = (fields: object, msg: string): void => {
      this.lines.push({ ...fields, msg, by, at: performance.now() });
    };
    return { info: record, warn: record, error: record };
  }

  /** All lines with this message, oldest first. */
  withMessage(msg: string): LoggedLine[] {
    return this.lines.filter((line) => line.msg === msg);
  }
}
