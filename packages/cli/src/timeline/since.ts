/** Points in time as operators write them. */
import { UsageError } from '../usage-error.js';

const UNITS: Record<string, number> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Wall-clock ms of `90s`, `10m`, `2h`, `1d` ago, or of an ISO date and time. Throws UsageError. */
export function parseSince(text: string, now = Date.now()): number {
  const [, amount, unit = ''] = /^(\d+)([smhd])$/.exec(text) ?? [];
  if (amount !== undefined) return now - Number(amount) * (UNITS[unit] ?? 0);
  const date = Date.parse(text);
  if (!Number.isNaN(date) && /^\d{4}-\d\d-\d\d/.test(text)) return date;
  throw new UsageError(
    `--since "${text}" is no point in time.`,
    'Write 90s, 10m, 2h, 1d, or a date such as 2026-03-01T04:00:00Z.',
  );
}
