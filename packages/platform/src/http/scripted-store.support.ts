/** Store server for tests that injects faults by a script: one action for each request that arrives. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import Wreck from '@hapi/wreck';
import { transactionSchema, type Transaction } from '@zincspan/core';
import { RowStore } from '../table/row-store.js';

/**
 * `serve` acts normally; `unavailable` answers 503; `drop-request` closes the connection without effect and
 * `drop-response` after the effect; `fail` takes effect and answers 500; `hold` never answers, and a held write
 * takes effect in `applyHeldWrites`.
 */
export const SCRIPT_ACTIONS = [
  'serve',
  'unavailable',
  'drop-request',
  'drop-response',
  'fail',
  'hold',
] as const;
export type ScriptAction = (typeof SCRIPT_ACTIONS)[number];

/** Serves rows; requests beyond the script are served normally. */
export class ScriptedStore {
  readonly rows = new RowStore();

  readonly writeIds: string[] = [];

  /** Actions for the next writes. */
  writes: ScriptAction[] = [];

  /** Action for each query of a write's outcome. */
  statusQuery: ScriptAction = 'serve';

  /** Actions for the next reads. */
  reads: ScriptAction[] = [];

  requestCount = 0;

  readonly #heldWrites: Transaction[] = [];

  readonly #server: Server;

  constructor() {
    this.#server = createServer((req, res) => {
      void this.#serve(req, res);
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Applies the held writes, as if they arrived late. */
  applyHeldWrites(): void {
    this.#heldWrites.splice(0).forEach(({ writeId, writes }) => this.rows.write(writeId, writes));
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.requestCount += 1;
    const path = (req.url ?? '').split('/');
    if (req.method === 'POST') {
      const body = await Wreck.read<unknown>(req, { json: 'force' });
      return this.#write(transactionSchema.parse(body), res);
    }
    if (path[2] === 'transactions') {
      return respond(this.statusQuery, res, () => {
        const resolved = this.rows.resolveOutcome(path[3]!);
        return resolved.outcome === 'written' ? [200, { versions: resolved.versions }] : [404, {}];
      });
    }
    const key = decodeURIComponent(path[3]!);
    return respond(this.reads.shift() ?? 'serve', res, () => [200, this.rows.get(key)]);
  }

  #write(transaction: Transaction, res: ServerResponse): void {
    const { writeId, writes } = transaction;
    this.writeIds.push(writeId);
    const action = this.writes.shift() ?? 'serve';
    if (action === 'hold') this.#heldWrites.push(transaction);
    respond(action, res, () => {
      const result = this.rows.write(writeId, writes);
      if (result.outcome === 'written') return [200, { versions: result.versions }];
      return [409, { rows: result.outcome === 'conflict' ? result.rows : [] }];
    });
  }
}

function respond(action: ScriptAction, res: ServerResponse, effect: () => [number, object]): void {
  if (action === 'hold') return;
  if (action === 'drop-request') {
    res.destroy();
    return;
  }
  if (action === 'unavailable') {
    res.writeHead(503).end();
    return;
  }
  const [status, body] = effect();
  if (action === 'drop-response') res.destroy();
  else res.writeHead(action === 'fail' ? 500 : status).end(JSON.stringify(body));
}
