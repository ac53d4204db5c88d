/** A process's status as rows of a table: one for each part, and one for each object within a part. */
import type { ProcessReport } from './report-calls.js';

/** A status that fits in so many characters stands in one row. */
const ROW_CHARACTERS = 140;

/** Rows of process, role, failure domain, part and status; the first three stand in the first row only. */
export function formatProcess({ process, role, failureDomain, status }: ProcessReport): string[][] {
  const parts = Object.entries(status).flatMap(([name, value]) => formatPart(name, value));
  const short = parts.map(([part, text]) => `${part}: ${text}`).join('; ');
  if (short.length <= ROW_CHARACTERS) return [[process, role, failureDomain, 'all', short]];
  return parts.map(([part, text], i) =>
    i === 0 ? [process, role, failureDomain, part, text] : ['', '', '', part, text],
  );
}

/** A part's plain values in one row, its objects in rows of their own. */
function formatPart(name: string, value: unknown): [part: string, text: string][] {
  if (!isRecord(value)) return [[name, formatValue(value)]];
  const fields = Object.entries(value).filter(([, one]) => one !== null && one !== undefined);
  const plain = fields.filter(([, one]) => !isRecord(one));
  const nested = fields.filter(([, one]) => isRecord(one));
  const own = plain.map(([key, one]) => `${key} ${formatValue(one)}`).join(', ');
  return [
    ...(own === '' ? [] : [[name, own] as [string, string]]),
    ...nested.flatMap(([key, one]) => formatPart(`${name} ${key}`, one)),
  ];
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) return value.length === 0 ? 'none' : value.map(formatValue).join(' ');
  return isRecord(value) ? JSON.stringify(value) : String(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
