/** Rows by which one entry owns a cell: who owns it, and a heartbeat beside it. */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import { addressSchema, incarnationSchema } from '@zincspan/core';
import type { RowKey } from '../store/row-store.js';

/** Table of a cell's own rows. */
export const CELL_TABLE = 'cell';

/** Who owns the cell. Changes only when ownership does, so that all writes can name its version. */
export const OWNER_ROW_KEY: RowKey = { table: CELL_TABLE, part: '', key: 'owner' };

/** Changed by the owner again and again: for liveness only. */
export const OWNER_HEARTBEAT_KEY: RowKey = { table: CELL_TABLE, part: '', key: 'owner-beat' };

/** The key that links between our processes prove themselves by. */
export const LINK_KEY_ROW_KEY: RowKey = { table: CELL_TABLE, part: '', key: 'link-key' };

/** An entry as owner. */
export const holderSchema = z.strictObject({
  id: z.string(),
  incarnation: incarnationSchema,
  /** Where guards reach it. */
  address: addressSchema,
});
export type Holder = z.infer<typeof holderSchema>;

/** `holder` is absent after a planned stop. `term` rises with each change of owner. */
export const ownerRowSchema = z.strictObject({
  term: z.int().min(1),
  holder: z.optional(holderSchema),
});
export type OwnerRow = z.infer<typeof ownerRowSchema>;

const packr = new Packr({ useRecords: false });

export function packOwnerRow(row: OwnerRow): Buffer {
  return packr.pack(row);
}

/** Throws if the row isn't as agreed. */
export function unpackOwnerRow(value: Buffer): OwnerRow {
  return ownerRowSchema.parse(packr.unpack(value));
}
