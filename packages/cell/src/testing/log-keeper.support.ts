/** Keeps what the processes of a test log. */
import type { Log } from '@zincspan/core';

/** A line's fields, with its message. */
export type LoggedLine = Record<string, unknown> & { msg: string };

/** Lines of all processes that were given its logger. */
export class LogKeeper {
  readonly lines: LoggedLine[] = [];

  /** For a process's context. */
  get log(): Log {
    const keep = (fields: object, msg: string): void => {
      this.lines.push({ ...fields, msg });
    };
    return { info: keep, warn: keep, error: keep };
  }

  /** All lines with this message, the oldest first. */
  of(msg: string): LoggedLine[] {
    return this.lines.filter((line) => line.msg === msg);
  }
}
