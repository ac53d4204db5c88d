/**
 * The platform's store: rows in memory, one version counter, atomic transactions, pages and feeds, with the limits of the
 * published protocol.
 */
import { startJsonServer } from './json-http.mjs';

/** Largest value of a row, in bytes. */
export const ROW_BYTES = 65_536;

/** Limits of one transaction. */
const MAX_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;

/** Limits of one page. */
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;

/** A transaction takes this long, in ms. */
const TX_MS = 3;

const MAX_FEED_WAIT_MS = 30_000;

/** How long the history reaches back, in ms. */
const HISTORY_MS = 20_000;

/** Tables that only the operator and the platform write. */
const FOREIGN_TABLES = ['op', 'servers'];

/** The rows, without a network. */
export class RowTables {
  #rows = new Map();

  #history = [];

  #version = 0;

  #forgotten = 0;

  #watchers = new Set();

  get version() {
    return this.#version;
  }

  get(key) {
    return this.#rows.get(idOf(key));
  }

  /** Applies all entries or none. Returns the current rows of those that were expected otherwise. */
  transact({ expected = [], set = [], remove = [] }) {
    const isAsExpected = expected.every((key) => (this.get(key)?.ver ?? 0) === key.ver);
    if (!isAsExpected) return { rows: expected.flatMap((key) => this.get(key) ?? []) };
    this.#version += 1;
    set.forEach((row) => {
      const stored = { ...keyOf(row), value: row.value, ver: this.#version };
      this.#rows.set(idOf(row), stored);
      this.#note(stored);
    });
    remove.forEach((row) => {
      this.#rows.delete(idOf(row));
      this.#note({ ...keyOf(row), value: '', ver: this.#version, deleted: true });
    });
    [...this.#watchers].forEach((wake) => wake());
    return { ver: this.#version };
  }

  /** One page of a range, in ascending order of keys. */
  read({ table, part, from, to }) {
    const found = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === undefined || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (rows.length === PAGE_ROWS || (rows.length > 0 && bytes > PAGE_BYTES)) break;
      rows.push(row);
    }
    return { rows, hasMore: rows.length < found.length };
  }

  /** Changes of a table after a version; undefined if the history doesn't reach back so far. */
  changes(table, after) {
    this.#dropHistory();
    if (after < this.#forgotten) return undefined;
    return this.#history
      .filter(({ row }) => row.table === table && row.ver > after)
      .map(({ row }) => row);
  }

  /** Waits for a change of a table. */
  async changed(table, after, waitMs) {
    const until = performance.now() + waitMs;
    while (this.changes(table, after)?.length === 0 && performance.now() < until) {
      await this.#nextChange(until - performance.now());
    }
  }

  #nextChange(waitMs) {
    return new Promise((resolve) => {
      let timer;
      const wake = () => {
        clearTimeout(timer);
        this.#watchers.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, Math.max(1, waitMs));
      this.#watchers.add(wake);
    });
  }

  #note(row) {
    this.#history.push({ row, at: performance.now() });
  }

  #dropHistory() {
    const since = performance.now() - HISTORY_MS;
    while (this.#history.length > 0 && this.#history[0].at < since) {
      this.#forgotten = this.#history.shift().row.ver;
    }
  }
}

/**
 * Serves the tables. `faultOf(tx)` tells what becomes of a write: `none`; `lost`: done, and its connection delivers nothing further.
 * `onWrite(tx, result)` is told of each write. While it is set down, each call gets 503 and does nothing.
 */
export async function startStore(address, { faultOf = () => 'none', onWrite = () => {} } = {}) {
  const tables = new RowTables();
  let isDown = false;
  const handlers = {
    'POST /-/rows-tx': ({ body }) => transact(tables, body, { faultOf, onWrite }),
    'GET /-/rows-get': ({ query }) => read(tables, query),
    'GET /-/rows-feed': ({ query }) => feed(tables, query),
  };
  const server = await startJsonServer(address, (call) => {
    if (isDown) return { status: 503 };
    const handler = handlers[`${call.method} ${call.path}`];
    return handler === undefined ? { status: 404 } : handler(call);
  });
  return {
    tables,
    address,
    setDown: (value) => {
      isDown = value;
    },
    close: () => server.close(),
  };
}

async function transact(tables, body, { faultOf, onWrite }) {
  const { expected_revision: expected = [], set_keys: set = [], remove = [] } = body;
  const tx = {
    expected: expected.map(fullKey),
    set: set.map(fullKey),
    remove: remove.map(fullKey),
  };
  await sleep(TX_MS);
  const refusal = refusalOf(tx, body);
  if (refusal !== undefined) {
    onWrite(tx, refusal);
    return refusal;
  }
  const result = tables.transact(tx);
  const answer =
    result.ver === undefined
      ? { status: 412, body: { rows: result.rows } }
      : { status: 200, body: { ver: result.ver } };
  onWrite(tx, answer);
  return answer.status === 200 && faultOf(tx) === 'lost' ? 'lost' : answer;
}

/** The answer to a transaction beyond the limits; undefined if it is within them. */
function refusalOf({ expected, set, remove }, body) {
  if ([...set, ...remove].some(({ table }) => FOREIGN_TABLES.includes(table))) {
    return { status: 403, body: { error: 'not a table of the system' } };
  }
  if (set.some(({ value }) => Buffer.byteLength(value, 'base64') > ROW_BYTES)) {
    return { status: 400, body: { error: `a value is longer than ${ROW_BYTES} bytes` } };
  }
  if (expected.length + set.length + remove.length > MAX_ENTRIES) {
    return { status: 400, body: { error: `more than ${MAX_ENTRIES} entries` } };
  }
  if (JSON.stringify(body).length > MAX_TRANSACTION_BYTES) {
    return { status: 400, body: { error: `longer than ${MAX_TRANSACTION_BYTES} bytes` } };
  }
  return undefined;
}

function read(tables, query) {
  const { rows, hasMore } = tables.read({
    table: query.get('table'),
    part: query.get('part') ?? '',
    from: query.get('start_key') ?? '',
    to: query.get('target') ?? undefined,
  });
  const body = { rows, has_more: hasMore, ver: tables.version, now_ms: nowMs() };
  return { status: 200, body };
}

async function feed(tables, query) {
  const table = query.get('table');
  const after = Number(query.get('after'));
  const waitMs = Math.min(MAX_FEED_WAIT_MS, Number(query.get('wait_ms') ?? 0));
  await tables.changed(table, after, waitMs);
  const rows = tables.changes(table, after);
  if (rows === undefined) return { status: 410 };
  return { status: 200, body: { rows, ver: tables.version, now_ms: nowMs() } };
}

function nowMs() {
  return Math.floor(performance.now());
}

function fullKey(row) {
  return { ...row, part: row.part ?? '' };
}

function keyOf({ table, part = '', key }) {
  return { table, part, key };
}

function idOf({ table, part = '', key }) {
  return JSON.stringify([table, part, key]);
}

function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
