/** The platform's store over HTTP, with rows in memory: transactions, reads, feeds, and the faults of the real one. */
import type Hapi from '@hapi/hapi';
import * as z from 'zod';
import { closeServer, createServer, serverAddress } from '../server/http-server.js';
import { delay } from '../server/delay.js';
import { cutConnection, neverAnswer } from '../server/raw-answer.js';
import type { StandIn } from '../server/stand-in.js';
import { RowTables, type RowChange, type StoredRow } from './row-tables.js';

const CONFLICT = 412;
const HISTORY_GONE = 410;
const UNAVAILABLE = 503;

/** A transaction takes this long, in ms. */
const TX_MS = 3;

const faultsSchema = z.strictObject({
  /** Calls are answered with 503, cut, or not at all. */
  down: z.enum(['no', 'busy', 'reset', 'silent']).default('no'),
  /** Each answer takes this much longer, in ms. */
  slowMs: z.number().min(0).default(0),
  /** Of so many transactions each is done and not answered; 0: none. */
  loseEach: z.int().min(0).default(0),
  /** Those are done this much later, in ms. */
  lateMs: z.number().min(0).default(0),
});
/** What the store does wrong. */
export type StoreFaults = z.infer<typeof faultsSchema>;

const keySchema = z.object({
  table: z.string(),
  part: z.string().default(''),
  key: z.string(),
});

const txSchema = z.object({
  expected_revision: z.array(keySchema.extend({ ver: z.number() })).default([]),
  set_keys: z.array(keySchema.extend({ value: z.string() })).default([]),
  remove: z.array(keySchema).default([]),
});

const rangeSchema = z.object({
  table: z.string(),
  part: z.string().default(''),
  start_key: z.string().default(''),
  target: z.optional(z.string()),
});

const feedSchema = z.object({
  table: z.string(),
  after: z.coerce.number(),
  wait_ms: z.coerce.number().default(0),
});

/** A store and its rows. */
export interface StoreStandIn extends StandIn<StoreFaults> {
  readonly tables: RowTables;
}

/** Starts one in this process. */
export async function startStore({ listen = '127.0.0.1:0' } = {}): Promise<StoreStandIn> {
  const tables = new RowTables();
  const faults = faultsSchema.parse({});
  const server = createServer(listen, { schema: faultsSchema, faults });
  let transactions = 0;

  const guarded =
    (serve: (req: Hapi.Request, h: Hapi.ResponseToolkit) => Promise<Hapi.Lifecycle.ReturnValue>) =>
    async (req: Hapi.Request, h: Hapi.ResponseToolkit): Promise<Hapi.Lifecycle.ReturnValue> => {
      if (faults.down === 'busy') return h.response({}).code(UNAVAILABLE);
      if (faults.down === 'reset') return cutConnection(req, h);
      if (faults.down === 'silent') return neverAnswer(h);
      await delay(faults.slowMs);
      return serve(req, h);
    };

  const transact = async (
    req: Hapi.Request,
    h: Hapi.ResponseToolkit,
  ): Promise<Hapi.Lifecycle.ReturnValue> => {
    const tx = toTransaction(txSchema.parse(req.payload));
    transactions += 1;
    if (faults.loseEach > 0 && transactions % faults.loseEach === 0) {
      await delay(faults.lateMs);
      tables.transact(tx);
      return cutConnection(req, h);
    }
    await delay(TX_MS);
    const result = tables.transact(tx);
    if (result.outcome === 'done') return { ver: result.version };
    return h.response({ rows: result.rows.map(toWire) }).code(CONFLICT);
  };

  const read = (req: Hapi.Request): Promise<Hapi.Lifecycle.ReturnValue> => {
    const { table, part, start_key: from, target: to } = rangeSchema.parse(req.query);
    const { rows, hasMore } = tables.read({
      table,
      part,
      from,
      ...(to === undefined ? {} : { to }),
    });
    return Promise.resolve({ rows: rows.map(toWire), has_more: hasMore, ver: tables.version });
  };

  const feed = async (
    req: Hapi.Request,
    h: Hapi.ResponseToolkit,
  ): Promise<Hapi.Lifecycle.ReturnValue> => {
    const { table, after, wait_ms: waitMs } = feedSchema.parse(req.query);
    await tables.changed(table, after, waitMs);
    const rows = tables.changes(table, after);
    if (rows === undefined) return h.response({}).code(HISTORY_GONE);
    return { rows: rows.map(toWireChange), ver: tables.version };
  };

  server.route([
    { method: 'POST', path: '/-/rows-tx', handler: guarded(transact) },
    { method: 'GET', path: '/-/rows-get', handler: guarded(read) },
    { method: 'GET', path: '/-/rows-feed', handler: guarded(feed) },
  ]);
  await server.start();
  const close = (): Promise<void> => closeServer(server);
  return { address: serverAddress(server), tables, faults, close, kill: close };
}

function toTransaction({
  expected_revision: expected,
  set_keys: set,
  remove,
}: z.infer<typeof txSchema>): Parameters<RowTables['transact']>[0] {
  return {
    expected: expected.map(({ ver: version, ...key }) => ({ ...key, version })),
    set: set.map(({ value, ...key }) => ({ ...key, value: Buffer.from(value, 'base64') })),
    remove,
  };
}

function toWire({ table, part, key, value, version }: StoredRow): object {
  return { table, part, key, value: value.toString('base64'), ver: version };
}

function toWireChange(change: RowChange): object {
  return { ...toWire(change), ...(change.deleted ? { deleted: true } : {}) };
}
