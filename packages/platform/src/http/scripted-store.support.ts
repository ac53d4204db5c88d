/** A store for tests that misbehaves by script: one action for each write that arrives. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import Wreck from '@hapi/wreck';
import { transactionSchema, type Transaction } from '@zincspan/core';
import { RowStore } from '../table/row-store.js';

/**
 * `serve` as it should; `down` answers 503; `cut` has no effect, `lose` has, and both cut the connection; `fail`
 * has effect and answers 500; `hold` never answers, and has its effect when released.
 */
export const SCRIPT_ACTIONS = ['serve', 'down', 'cut', 'lose', 'fail', 'hold'] as const;
export type ScriptAction = (typeof SCRIPT_ACTIONS)[number];

/** Serves rows; everything beyond the script is served as it should. */
export class ScriptedStore {
  readonly rows = new RowStore();

  readonly writeIds: string[] = [];

  /** Actions for the writes to come. */
  writes: ScriptAction[] = [];

  /** Action for each question about a write id. */
  statusQuery: ScriptAction = 'serve';

  /** Action for the reads to come. */
  reads: ScriptAction[] = [];

  /** Calls that arrived. */
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

  /** Lets the held writes arrive. */
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
        const settled = this.rows.resolveOutcome(path[3]!);
        return settled.outcome === 'written' ? [200, { versions: settled.versions }] : [404, {}];
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
  if (action === 'cut') {
    res.destroy();
    return;
  }
  if (action === 'down') {
    res.writeHead(503).end();
    return;
  }
  const [status, body] = effect();
  if (action === 'lose') res.destroy();
  else res.writeHead(action === 'fail' ? 500 : status).end(JSON.stringify(body));
}
