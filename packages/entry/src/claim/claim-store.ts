/** Reading and changing the rows of claims. */
import {
  accountAndId,
  activeClaimKey,
  claimKey,
  claimRowSchema,
  nameSchema,
  type ClaimRow,
  type RowWrite,
  type Table,
} from '@zincspan/core';
import * as z from 'zod';
import { scanAll, type RowWriter } from '../job/job-store.js';
import { isOver } from './claim-change.js';

/** Value of row `claims-standing/<account>/<guarantee>`. */
const standingSchema = z.strictObject({ ids: z.array(nameSchema) });

/** Claims that stand for one guarantee, as read last. */
export interface StandingClaims {
  ids: string[];
  version: number;
}

/** A claim as it was read last. */
export interface ClaimRecord {
  row: ClaimRow;
  version: number;
}

/** Rows of claims in the table. Calls reject as the table's do. */
export class ClaimStore {
  readonly #table: Table;

  readonly #writer: RowWriter;

  constructor({ table, writer = table }: { table: Table; writer?: RowWriter }) {
    this.#table = table;
    this.#writer = writer;
  }

  /** The claim of an account, or undefined. */
  async read(account: string, id: string): Promise<ClaimRecord | undefined> {
    const { value, version } = await this.#table.get(claimKey(account, id));
    const { data } = claimRowSchema.safeParse(value);
    return data === undefined ? undefined : { row: data, version };
  }

  /** Claims of an account in order of their ids. */
  async list(account: string, options: { after?: string; limit: number }): Promise<ClaimRow[]> {
    const after = options.after === undefined ? {} : { after: claimKey(account, options.after) };
    const rows = await this.#table.scan(claimKey(account, ''), { ...after, limit: options.limit });
    return rows.flatMap(({ value }) => claimRowSchema.safeParse(value).data ?? []);
  }

  /** Accounts and ids of the claims that aren't over, in one failure domain or of one account in it. */
  async listActive(
    failureDomain: string,
    account?: string,
  ): Promise<{ account: string; id: string }[]> {
    const prefix =
      account === undefined
        ? `active-claims/${failureDomain}/`
        : activeClaimKey(failureDomain, account, '');
    return (await scanAll(this.#table, prefix)).map(({ key }) => accountAndId(key));
  }

  /** Ids of the claims that stand for a guarantee now. */
  async standing(account: string, guarantee: string): Promise<StandingClaims> {
    const { value, version } = await this.#table.get(standingKey(account, guarantee));
    const ids = version === 0 ? [] : standingSchema.parse(value).ids;
    return { ids, version };
  }

  /**
   * Writes a new claim, the row beside it, and its place among those that stand for the guarantee: two entries
   * can't grant the last one twice.
   */
  async create(row: ClaimRow, { ids, version }: StandingClaims): Promise<ClaimRecord | 'conflict'> {
    const { account, id, failureDomain, guarantee } = row;
    const result = await this.#writer.write([
      { key: claimKey(account, id), ifVersion: 0, value: row },
      { key: activeClaimKey(failureDomain, account, id), ifVersion: 0, value: {} },
      {
        key: standingKey(account, guarantee),
        ifVersion: version,
        value: { ids: [...ids, id] },
      },
    ]);
    if (result.outcome === 'conflict') return 'conflict';
    return { row, version: result.versions[0] ?? 0 };
  }

  /** Replaces a claim's row if it still stands as read. One that is over gives its place up. */
  async save({ version }: ClaimRecord, row: ClaimRow): Promise<ClaimRecord | 'conflict'> {
    const write = { key: claimKey(row.account, row.id), ifVersion: version, value: row };
    const given = isOver(row) ? [await this.#giveUp(row)] : [];
    const result = await this.#writer.write([write, ...given]);
    if (result.outcome === 'conflict') return 'conflict';
    return { row, version: result.versions[0] ?? 0 };
  }

  async #giveUp({ account, id, guarantee }: ClaimRow): Promise<RowWrite> {
    const { ids, version } = await this.standing(account, guarantee);
    const left = ids.filter((each) => each !== id);
    const value = left.length === 0 ? null : { ids: left };
    return { key: standingKey(account, guarantee), ifVersion: version, value };
  }

  /** Takes the row beside a claim away: nothing is held for it any more. */
  async removeActive({ failureDomain, account, id }: ClaimRow): Promise<void> {
    const key = activeClaimKey(failureDomain, account, id);
    const { version } = await this.#table.get(key);
    if (version > 0) await this.#writer.write([{ key, ifVersion: version, value: null }]);
  }
}

function standingKey(account: string, guarantee: string): string {
  return `claims-standing/${account}/${guarantee}`;
}
