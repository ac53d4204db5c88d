/**
 * Allotments of an account's accelerator quota to failure domains, taken in advance as rows: a failure domain
 * may use its allotment without asking anyone, also while regions have lost each other. What isn't allotted is
 * kept in a spare row. Every change moves accelerators between the spare row and one allotment in a transaction,
 * so that their sum is always the quota. A failure domain uses less before it writes a smaller allotment, and
 * more only after a larger one is known to be written.
 */
import * as z from 'zod';
import { nameSchema } from '../vm/vm.js';
import type { RowWrite } from '../table/table.js';

/** Row `allotments/<account>/spare`. Below zero after a quota was lowered: allotments are then given back. */
export const spareRowSchema = z.strictObject({
  account: nameSchema,
  /** The quota that the sum of all the account's rows is kept at. */
  total: z.int().min(0),
  spare: z.int(),
});
export type SpareRow = z.infer<typeof spareRowSchema>;

/** Row `allotments/<account>/domain/<failureDomain>`. */
export const allotmentRowSchema = z.strictObject({
  account: nameSchema,
  failureDomain: nameSchema,
  accelerators: z.int().min(0),
});
export type AllotmentRow = z.infer<typeof allotmentRowSchema>;

/** A row's value with the version it was read at; version 0 for a row that isn't there. */
export interface Versioned<T> {
  version: number;
  value: T;
}

export function spareKey(account: string): string {
  return `allotments/${account}/spare`;
}

export function allotmentKey(account: string, failureDomain: string): string {
  return `allotments/${account}/domain/${failureDomain}`;
}

/** Splits a quota by weight, for example by accelerators installed; largest remainders get the rest. */
export function splitQuota(total: number, weights: Map<string, number>): Map<string, number> {
  const sum = [...weights.values()].reduce((a, b) => a + b, 0);
  if (sum <= 0) return new Map([...weights.keys()].map((name) => [name, 0]));
  const exact = [...weights].map(([name, weight]) => ({ name, part: (total * weight) / sum }));
  const whole = new Map(exact.map(({ name, part }) => [name, Math.floor(part)]));
  let rest = total - [...whole.values()].reduce((a, b) => a + b, 0);
  exact
    .sort((a, b) => (b.part % 1) - (a.part % 1) || (a.name < b.name ? -1 : 1))
    .forEach(({ name }) => {
      if (rest <= 0) return;
      whole.set(name, (whole.get(name) ?? 0) + 1);
      rest -= 1;
    });
  return whole;
}

/** Writes that bring the spare row to a new quota; undefined if it is there already. */
export function planTotal({
  account,
  total,
  spare,
}: {
  account: string;
  total: number;
  spare: Versioned<SpareRow> | undefined;
}): RowWrite[] | undefined {
  const before = spare?.value ?? { account, total: 0, spare: 0 };
  if (spare !== undefined && before.total === total) return undefined;
  const value = { account, total, spare: before.spare + total - before.total };
  return [{ key: spareKey(account), ifVersion: spare?.version ?? 0, value }];
}

/**
 * Writes that bring one allotment towards `wanted`: down at once, up as far as the spare row allows. Undefined
 * if nothing changes. `inUse` accelerators can't be given back before their jobs end.
 */
export function planAllotment({
  account,
  failureDomain,
  wanted,
  inUse,
  spare,
  allotment,
}: {
  account: string;
  failureDomain: string;
  wanted: number;
  inUse: number;
  spare: Versioned<SpareRow>;
  allotment: Versioned<AllotmentRow> | undefined;
}): RowWrite[] | undefined {
  const before = allotment?.value.accelerators ?? 0;
  // With a debt (spare below zero) this is less than now: it is paid back first.
  const most = before + spare.value.spare;
  const accelerators = Math.max(Math.min(wanted, most), Math.min(inUse, before), 0);
  if (accelerators === before) return undefined;
  const moved = accelerators - before;
  return [
    {
      key: spareKey(account),
      ifVersion: spare.version,
      value: { ...spare.value, spare: spare.value.spare - moved },
    },
    {
      key: allotmentKey(account, failureDomain),
      ifVersion: allotment?.version ?? 0,
      value: { account, failureDomain, accelerators },
    },
  ];
}
