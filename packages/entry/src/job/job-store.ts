/** Reading and changing the rows of jobs. */
import {
  accountAndId,
  activeJobKey,
  isFinal,
  jobKey,
  jobRowSchema,
  jobStateSchema,
  type JobRow,
  type JobState,
  type Row,
  type RowWrite,
  type Table,
  type WriteResult,
} from '@zincspan/core';
import * as z from 'zod';

/** Rows asked of the table at once. */
const PAGE = 1000;

/** Value of the row that stands beside a job until it is final: what an owner's scan needs to see. */
export const activeJobSchema = z.strictObject({
  state: jobStateSchema,
  cancelRequested: z.boolean(),
});

/** A job as it was read last. `version` is its row's; `activeVersion` that of the row beside it, if known. */
export interface JobRecord {
  row: JobRow;
  version: number;
  activeVersion?: number | undefined;
}

/** A job listed as active in a failure domain. */
export interface ActiveJob {
  key: string;
  account: string;
  id: string;
  version: number;
  state: JobState;
  cancelRequested: boolean;
}

/** Where writes go: the table itself, or a queue in front of it. */
export interface RowWriter {
  write(writes: RowWrite[]): Promise<WriteResult>;
}

/** Rows of jobs in the table. Calls reject as the table's do. */
export class JobStore {
  readonly #table: Table;

  readonly #writer: RowWriter;

  constructor({ table, writer = table }: { table: Table; writer?: RowWriter }) {
    this.#table = table;
    this.#writer = writer;
  }

  /** The job of an account, or undefined. */
  async read(account: string, id: string): Promise<JobRecord | undefined> {
    const { value, version } = await this.#table.get(jobKey(account, id));
    const { data } = jobRowSchema.safeParse(value);
    // A row that can't be read stops nobody else's job; it is left for its operators.
    return data === undefined ? undefined : { row: data, version };
  }

  /** The same job with the row beside it, as a final write needs it. */
  async readBoth(account: string, id: string): Promise<JobRecord | undefined> {
    const record = await this.read(account, id);
    if (record === undefined) return undefined;
    const key = activeJobKey(record.row.failureDomain, account, id);
    return { ...record, activeVersion: (await this.#table.get(key)).version };
  }

  /** Jobs of an account in order of their ids, which is that of their submission. */
  async list(account: string, options: { after?: string; limit: number }): Promise<JobRow[]> {
    const after = options.after === undefined ? {} : { after: jobKey(account, options.after) };
    const rows = await this.#table.scan(jobKey(account, ''), { ...after, limit: options.limit });
    return rows.flatMap(({ value }) => jobRowSchema.safeParse(value).data ?? []);
  }

  /** All active jobs of a failure domain, or of one account in it. */
  async listActive(failureDomain: string, account?: string): Promise<ActiveJob[]> {
    const prefix =
      account === undefined ? `active/${failureDomain}/` : activeJobKey(failureDomain, account, '');
    return (await scanAll(this.#table, prefix)).flatMap((row) => toActiveJob(row) ?? []);
  }

  /** Writes a new job and the row beside it. */
  async create(row: JobRow): Promise<JobRecord | 'conflict'> {
    return this.save({ row, version: 0, activeVersion: 0 }, row);
  }

  /** Replaces a job's row, and the one beside it, if they still stand as read. */
  async save(record: JobRecord, row: JobRow): Promise<JobRecord | 'conflict'> {
    const { account, id } = row;
    const result = await this.#writer.write([
      { key: jobKey(account, id), ifVersion: record.version, value: row },
      ...(await this.#activeWrites(record, row)),
    ]);
    if (result.outcome === 'conflict') return 'conflict';
    return { row, version: result.versions[0] ?? 0, activeVersion: result.versions.at(-1) };
  }

  /** Writes of the row beside a job; that of a job which moves leaves the failure domain it was in. */
  async #activeWrites(record: JobRecord, row: JobRow): Promise<RowWrite[]> {
    const { account, id, failureDomain } = row;
    const before = record.row.failureDomain;
    const beforeVersion = record.activeVersion ?? (await this.#activeVersion(record.row));
    const value = activeValue(row);
    if (before === failureDomain) {
      const key = activeJobKey(failureDomain, account, id);
      return [{ key, ifVersion: beforeVersion, value }];
    }
    return [
      { key: activeJobKey(before, account, id), ifVersion: beforeVersion, value: null },
      { key: activeJobKey(failureDomain, account, id), ifVersion: 0, value },
    ];
  }

  async #activeVersion({
    failureDomain,
    account,
    id,
  }: Pick<JobRow, 'failureDomain' | 'account' | 'id'>): Promise<number> {
    return (await this.#table.get(activeJobKey(failureDomain, account, id))).version;
  }
}

/** A final job has no row beside it. */
function activeValue(row: JobRow): z.infer<typeof activeJobSchema> | null {
  if (isFinal(row)) return null;
  return { state: row.state, cancelRequested: row.cancelRequested };
}

/** Every row under a prefix, page by page. */
export async function scanAll(table: Table, prefix: string): Promise<Row[]> {
  const rows: Row[] = [];
  for (;;) {
    const after = rows[rows.length - 1]?.key;
    const page = await table.scan(prefix, {
      limit: PAGE,
      ...(after === undefined ? {} : { after }),
    });
    rows.push(...page);
    if (page.length < PAGE) return rows;
  }
}

function toActiveJob({ key, version, value }: Row): ActiveJob | undefined {
  const { account, id } = accountAndId(key);
  const { data } = activeJobSchema.safeParse(value);
  return data && { key: jobKey(account, id), account, id, version, ...data };
}
