/** Rows with which entries register, so that they can discover each other. */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import { addressSchema, incarnationSchema } from '@zincspan/core';
import { CELL_TABLE } from '../owner/owner-row.js';
import type { RowKey } from '../store/row-store.js';

/** Key prefix of entries' rows. */
export const ENTRY_PREFIX = 'entry/';

/** One entry: its current incarnation, address and capacity. */
export const entryRowSchema = z.object({
  id: z.string(),
  incarnation: incarnationSchema,
  address: addressSchema,
  failureDomain: z.string().default(''),
  /** CPU cores that it may use. */
  processorShare: z.number().default(0),
});
export type EntryRow = z.infer<typeof entryRowSchema>;

const packr = new Packr({ useRecords: false });

export function entryRowKey(id: string): RowKey {
  return { table: CELL_TABLE, part: '', key: `${ENTRY_PREFIX}${id}` };
}

export function packEntryRow(row: EntryRow): Buffer {
  return packr.pack(row);
}

/** Throws if the row doesn't match the schema. */
export function unpackEntryRow(value: Buffer): EntryRow {
  return entryRowSchema.parse(packr.unpack(value));
}
