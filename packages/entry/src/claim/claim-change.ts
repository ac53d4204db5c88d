/** The only door through which a claim's row changes; pure. */
import type { ClaimRow } from '@zincspan/core';

/** What can happen to a claim. Times are wall-clock ms. */
export type ClaimChange =
  | { type: 'held'; at: number }
  /** What was held is lost, and is being claimed again. */
  | { type: 'unheld' }
  | { type: 'release' }
  | { type: 'fail'; reason: string };

/** Whether a claim is over. */
export function isOver({ state }: Pick<ClaimRow, 'state'>): boolean {
  return state === 'released' || state === 'failed';
}

/** The row after a change, or undefined if it can't change so. */
export function changeClaim(row: ClaimRow, change: ClaimChange): ClaimRow | undefined {
  if (isOver(row)) return undefined;
  switch (change.type) {
    case 'held':
      return { ...row, state: 'held', heldAt: change.at };
    case 'unheld':
      return { ...row, state: 'claiming' };
    case 'release':
      return { ...row, state: 'released' };
    case 'fail':
      return { ...row, state: 'failed', reason: change.reason };
    default:
      return change satisfies never;
  }
}
