/** Rows about the cell itself: its owner, the owner's heartbeat, and the key of links. */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import { addressSchema, incarnationSchema } from '@zincspan/core';
import type { RowKey } from '../store/row-store.js';

/** Table of the rows about the cell itself. */
export const CELL_TABLE = 'cell';

/** The cell's owner. Changes only with the ownership, so that all writes of the owner can expect its version. */
export const OWNER_ROW_KEY: RowKey = { table: CELL_TABLE, part: '', key: 'owner' };

/** Heartbeat that the owner keeps rewriting: for liveness only. */
export const OWNER_HEARTBEAT_KEY: RowKey = { table: CELL_TABLE, part: '', key: 'owner-beat' };

/** Shared key by which the cell's processes authenticate links between them. */
export const LINK_KEY_ROW_KEY: RowKey = { table: CELL_TABLE, part: '', key: 'link-key' };

/** The entry that owns the cell. */
export const holderSchema = z.strictObject({
  id: z.string(),
  incarnation: incarnationSchema,
  /** Address at which guards reach it. */
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

/** Throws if the value doesn't match the schema. */
export function unpackOwnerRow(value: Buffer): OwnerRow {
  return ownerRowSchema.parse(packr.unpack(value));
}
