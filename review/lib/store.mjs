/** The platform's row store over HTTP, in memory, with the limits that the users' pages set for a call and for a row. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { RowTables } from '@zincspan/stand-ins';

/** Largest value of a row, in bytes. */
export const ROW_BYTES = 65_536;

const MAX_CALL_BYTES = 1_048_576;
const MAX_CALL_ENTRIES = 100;

/** Time that a transaction takes, in ms. */
const TX_MS = 3;

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const HISTORY_GONE = 410;
const CONFLICT = 412;

/** Starts a store. `onRefused` hears why a transaction was rejected. */
export async function startStore({ host, port, onRefused = () => undefined }) {
  const tables = new RowTables();
  const server = createServer((req, res) => {
    serve({ tables, onRefused }, req)
      .catch((err) => ({ status: BAD_REQUEST, body: { error: String(err) } }))
      .then(({ status, body }) => answer(res, status, body));
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { address: `${host}:${port}`, tables, close };
}

/** Writes a row for the operator. */
export function writeRow({ tables }, key, value) {
  const row = { ...key, value: Buffer.from(JSON.stringify(value)) };
  tables.transact({ expected: [], set: [row], remove: [] });
}

async function serve({ tables, onRefused }, req) {
  const url = new URL(req.url, 'http://store');
  const bytes = await readBody(req);
  if (url.pathname === '/-/rows-tx') return transact(tables, bytes, onRefused);
  if (url.pathname === '/-/rows-get') return read(tables, url.searchParams);
  if (url.pathname === '/-/rows-feed') return feed(tables, url.searchParams);
  return { status: NOT_FOUND, body: {} };
}

async function transact(tables, bytes, onRefused) {
  const tx = toTransaction(JSON.parse(bytes.toString('utf8')));
  const excess = findExcess(tx, bytes.length);
  if (excess !== undefined) {
    onRefused(excess);
    return { status: BAD_REQUEST, body: { error: excess } };
  }
  await sleep(TX_MS);
  const result = tables.transact(tx);
  if (result.outcome === 'done') return { status: OK, body: { ver: result.version } };
  return { status: CONFLICT, body: { rows: result.rows.map(toWire) } };
}

/** Names the limit that a transaction exceeds; undefined if it keeps them all. */
function findExcess({ expected, set, remove }, callBytes) {
  const entries = expected.length + set.length + remove.length;
  if (entries > MAX_CALL_ENTRIES) return `${entries} entries`;
  if (callBytes > MAX_CALL_BYTES) return `a call of ${callBytes} bytes`;
  const large = set.find(({ value }) => value.length > ROW_BYTES);
  return large && `row ${large.table}/${large.key} of ${large.value.length} bytes`;
}

function read(tables, query) {
  const { rows, hasMore } = tables.read({
    table: query.get('table'),
    part: query.get('part') ?? '',
    from: query.get('start_key') ?? '',
    ...(query.has('target') ? { to: query.get('target') } : {}),
  });
  const body = { rows: rows.map(toWire), has_more: hasMore, ver: tables.version };
  return { status: OK, body };
}

async function feed(tables, query) {
  const table = query.get('table');
  const after = Number(query.get('after'));
  await tables.changed(table, after, Number(query.get('wait_ms') ?? 0));
  const rows = tables.changes(table, after);
  if (rows === undefined) return { status: HISTORY_GONE, body: {} };
  const changes = rows.map((row) => ({
    ...toWire(row),
    ...(row.deleted ? { deleted: true } : {}),
  }));
  return { status: OK, body: { rows: changes, ver: tables.version } };
}

function toTransaction({ expected_revision: expected = [], set_keys: set = [], remove = [] }) {
  return {
    expected: expected.map(({ ver, ...key }) => ({ part: '', ...key, version: ver })),
    set: set.map(({ value, ...key }) => ({
      part: '',
      ...key,
      value: Buffer.from(value, 'base64'),
    })),
    remove: remove.map((key) => ({ part: '', ...key })),
  };
}

function toWire({ table, part, key, value, version }) {
  return { table, part, key, value: value.toString('base64'), ver: version };
}

async function readBody(req) {
  const parts = [];
  for await (const part of req) parts.push(part);
  return Buffer.concat(parts);
}

function answer(res, status, body) {
  if (res.destroyed) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}
