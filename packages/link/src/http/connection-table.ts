/** Accounts for the memory of a server's connections and chooses which one to close when a limit is exceeded. */
import type { HttpLimits } from './http-limits.js';

/** A limit that connections exceed together. */
export type ExceededLimit = 'connections' | 'memory';

/** The connection to close. */
export interface Excess<Connection> {
  limit: ExceededLimit;
  connection: Connection;
}

/** Sizes of connections are compared in steps of this part of the memory limit. */
const SIZE_STEP_SHARE = 1 / 32;

/** Connections in the order of their last activity, each with its estimated memory. */
export class ConnectionTable<Connection> {
  readonly #limits: HttpLimits;

  /** Bytes of each connection, least recently active first. */
  readonly #bytes = new Map<Connection, number>();

  #totalBytes = 0;

  constructor(limits: HttpLimits) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#bytes.size;
  }

  add(connection: Connection): void {
    this.#bytes.set(connection, 0);
  }

  remove(connection: Connection): void {
    this.#totalBytes -= this.#bytes.get(connection) ?? 0;
    this.#bytes.delete(connection);
  }

  /** Changes a connection's bytes; does nothing for one that was removed. */
  change(connection: Connection, deltaBytes: number): void {
    const bytes = this.#bytes.get(connection);
    if (bytes === undefined) return;
    this.#bytes.set(connection, bytes + deltaBytes);
    this.#totalBytes += deltaBytes;
  }

  /** Makes a connection the most recently active one. */
  touch(connection: Connection): void {
    const bytes = this.#bytes.get(connection);
    if (bytes === undefined) return;
    this.#bytes.delete(connection);
    this.#bytes.set(connection, bytes);
  }

  /**
   * The connection to close so that the others fit the limits; undefined if they do. Too many connections: the least recently active
   * one, as it is idle or its request has stalled. Too much memory: the one that uses most. Among connections of about the same size,
   * as when many clients send small requests, it is the least recently active one too: a new caller's request may be slightly larger.
   */
  findExcess(): Excess<Connection> | undefined {
    const [idlest] = this.#bytes.keys();
    if (idlest === undefined) return undefined;
    const { maxConnections, maxMemoryBytes } = this.#limits;
    if (this.size > maxConnections) return { limit: 'connections', connection: idlest };
    if (this.#totalBytes <= maxMemoryBytes) return undefined;
    const stepsOf = (bytes: number): number =>
      Math.floor(bytes / (maxMemoryBytes * SIZE_STEP_SHARE));
    const [connection] = [...this.#bytes].reduce((most, next) =>
      stepsOf(next[1]) > stepsOf(most[1]) ? next : most,
    );
    return { limit: 'memory', connection };
  }
}
