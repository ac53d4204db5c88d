/** The merged time line as text. */
import type { TimelineEvent } from '@zincspan/core';
import { formatTable, formatTime } from '../output/table.js';
import type { TimelineReport } from '../report/report-calls.js';

/** One line for each event, then what is missing from the picture. */
export function formatTimeline({ events, dropped, unreachable }: TimelineReport): string {
  const rows = events.map((event) => [
    formatTime(event.at[0]),
    event.process,
    event.type,
    event.subject,
    formatDetail(event),
  ]);
  const table = formatTable(['TIME (UTC)', 'PROCESS', 'EVENT', 'SUBJECT', 'DETAIL'], rows);
  return [table, ...missing({ dropped, unreachable })].join('\n');
}

/** `key=value` pairs of an event, its job first. */
export function formatDetail({ job, subject, detail }: TimelineEvent): string {
  const pairs = Object.entries(detail).map(([key, value]) => `${key}=${value}`);
  return [...(job === undefined || job === subject ? [] : [`job=${job}`]), ...pairs].join(' ');
}

/** What the time line lacks, a line each. */
export function missing({
  dropped,
  unreachable,
}: Pick<TimelineReport, 'dropped' | 'unreachable'>): string[] {
  return [
    ...Object.entries(dropped)
      .filter(([, count]) => count > 0)
      .map(([process, count]) => `${process}: ${count} older events are no longer kept.`),
    ...unreachable.map(
      ({ process, why }) => `${process}: not reached, its events are missing. ${why}`,
    ),
  ];
}
