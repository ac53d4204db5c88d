/** The project's store stand-in behind a server that holds it to the documented sizes of values and calls. */
import { createServer, request } from 'node:http';
import { startStore } from '@zincspan/stand-ins';

/** Largest value of a row, in bytes. */
export const ROW_BYTES = 65_536;

/** Largest call, in bytes. */
const CALL_BYTES = 1_048_576;

/** Most entries of a call. */
const CALL_ENTRIES = 100;

const BAD_REQUEST = 400;

/** A store that refuses what is larger than its limits and has done nothing then. */
export class BoundedStore {
  #record;

  #store;

  #server;

  constructor({ record }) {
    this.#record = record;
  }

  /** Listens at `host:port`. */
  async start(host, port) {
    this.#store = await startStore();
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => {
      this.#server.listen(port, host, resolve);
    });
  }

  /** Writes a row as the operator does. */
  write(key, value) {
    const row = { table: 'op', part: '', key, value: Buffer.from(JSON.stringify(value)) };
    this.#store.tables.transact({ expected: [], set: [row], remove: [] });
  }

  /** Ends all connections. */
  async stop() {
    this.#server.closeAllConnections();
    this.#server.close();
    await this.#store.close();
  }

  async #serve(req, res) {
    const body = await readAll(req);
    const fault = req.method === 'POST' ? findFault(body) : undefined;
    if (fault === undefined) {
      this.#forward(req, body, res);
      return;
    }
    this.#record.note('store refuses a call', fault);
    res.writeHead(BAD_REQUEST, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ error: fault.error }));
  }

  #forward(req, body, res) {
    const [host, port] = this.#store.address.split(':');
    const { method, url: path, headers } = req;
    const upstream = request({ host, port, method, path, headers }, (answer) => {
      res.writeHead(answer.statusCode, answer.headers);
      answer.pipe(res);
    });
    upstream.on('error', () => res.destroy());
    res.on('close', () => upstream.destroy());
    upstream.end(body);
  }
}

/** What exceeds a limit of the store; undefined if nothing does. */
function findFault(body) {
  if (body.length > CALL_BYTES) return { error: 'call too long', bytes: body.length };
  const { expected_revision: expected = [], set_keys: set = [], remove = [] } = JSON.parse(body);
  const entries = expected.length + set.length + remove.length;
  if (entries > CALL_ENTRIES) return { error: 'too many entries', entries };
  const sizes = set.map(({ key, value }) => ({ key, bytes: Buffer.byteLength(value, 'base64') }));
  const large = sizes.find(({ bytes }) => bytes > ROW_BYTES);
  return large === undefined ? undefined : { error: 'value too long', ...large };
}

async function readAll(stream) {
  const parts = [];
  for await (const part of stream) parts.push(part);
  return Buffer.concat(parts);
}
