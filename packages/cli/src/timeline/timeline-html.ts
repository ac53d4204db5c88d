/** The merged time line as one self-contained page: a lane for each process, a line for each job. */
import type { TimelineEvent } from '@zincspan/core';
import { formatTime } from '../output/table.js';
import type { TimelineReport } from '../report/report-calls.js';
import { formatDetail, missing } from './format-timeline.js';

const WIDTH = 1200;
const MARGIN_LEFT = 150;
const MARGIN_RIGHT = 30;
const MARGIN_TOP = 40;
const LANE_HEIGHT = 34;
const TICKS = 8;

/** Colours that stay apart for most readers; one for each group of event types. */
const COLOURS = [
  '#0072b2',
  '#d55e00',
  '#009e73',
  '#cc79a7',
  '#8a6d00',
  '#56b4e9',
  '#444444',
  '#7a1fa2',
  '#c2185b',
  '#00695c',
  '#e69f00',
  '#6d4c41',
];

const STYLE = `body{font:14px/1.4 system-ui,sans-serif;margin:1.5em;color:#222}
.lanes{overflow-x:auto;border:1px solid #ccc}svg text{font:12px system-ui,sans-serif;fill:#222}
table{border-collapse:collapse;margin-top:1em;font-size:13px}td,th{padding:2px 10px 2px 0;text-align:left;vertical-align:top;white-space:nowrap}
td:last-child{white-space:normal}th{border-bottom:1px solid #999}.key{display:inline-block;margin-right:1em}
.key i{display:inline-block;width:10px;height:10px;border-radius:5px;margin-right:4px}`;

interface Scale {
  x(ms: number): number;
  y(process: string): number;
  start: number;
  end: number;
  height: number;
}

/** The page. It loads nothing from anywhere. */
export function renderTimelineHtml(
  report: TimelineReport,
  { title = 'zincspan time line' }: { title?: string } = {},
): string {
  const processes = [...new Set(report.events.map(({ process }) => process))].sort();
  const groups = [...new Set(report.events.map(({ type }) => groupOf(type)))].sort();
  const svg = renderSvg(report.events, processes, groups);
  const notes = missing(report).map((line) => `<li>${escapeHtml(line)}</li>`);
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    `<p>${report.events.length} events of ${processes.length} processes. Point at a mark to read it; a grey line joins the events of one job.</p>`,
    `<p>${groups.map((group) => renderKey(group, groups)).join(' ')}</p>`,
    `<div class="lanes">${svg}</div>`,
    notes.length > 0 ? `<ul>${notes.join('')}</ul>` : '',
    `<table><thead><tr><th>Time (UTC)</th><th>Process</th><th>Event</th><th>Subject</th><th>Detail</th></tr></thead>`,
    `<tbody>${report.events.map(renderRow).join('')}</tbody></table></body></html>`,
  ].join('\n');
}

function renderSvg(
  events: readonly TimelineEvent[],
  processes: readonly string[],
  groups: readonly string[],
): string {
  const scale = makeScale(events, processes);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${scale.height}" role="img" aria-label="Events by process">`,
    ...renderTicks(scale),
    ...processes.map((process) => renderLane(process, scale)),
    ...renderJobLines(events, scale),
    ...events.map((event) => renderMark(event, scale, groups)),
    '</svg>',
  ].join('\n');
}

function makeScale(events: readonly TimelineEvent[], processes: readonly string[]): Scale {
  const start = events[0]?.at[0] ?? 0;
  const end = events[events.length - 1]?.at[0] ?? start;
  const span = Math.max(1, end - start);
  const room = WIDTH - MARGIN_LEFT - MARGIN_RIGHT;
  const lanes = new Map(processes.map((process, i) => [process, i]));
  return {
    x: (ms) => Math.round((MARGIN_LEFT + ((ms - start) / span) * room) * 10) / 10,
    y: (process) => MARGIN_TOP + ((lanes.get(process) ?? 0) + 0.5) * LANE_HEIGHT,
    start,
    end,
    height: MARGIN_TOP + processes.length * LANE_HEIGHT + 10,
  };
}

function renderTicks({ x, start, end, height }: Scale): string[] {
  return Array.from({ length: TICKS + 1 }, (_, i) => {
    const ms = start + ((end - start) * i) / TICKS;
    const label = i === 0 ? formatTime(ms).slice(11, 23) : `+${((ms - start) / 1000).toFixed(2)} s`;
    const at = x(ms);
    return `<line x1="${at}" y1="24" x2="${at}" y2="${height}" stroke="#e4e4e4"/><text x="${at}" y="16" text-anchor="middle">${label}</text>`;
  });
}

function renderLane(process: string, { y }: Scale): string {
  const at = y(process);
  return `<text x="8" y="${at + 4}">${escapeHtml(process)}</text><line x1="${MARGIN_LEFT}" y1="${at}" x2="${WIDTH - MARGIN_RIGHT}" y2="${at}" stroke="#bbb"/>`;
}

function renderJobLines(events: readonly TimelineEvent[], { x, y }: Scale): string[] {
  const byJob = new Map<string, TimelineEvent[]>();
  events.forEach((event) => {
    if (event.job === undefined) return;
    byJob.set(event.job, [...(byJob.get(event.job) ?? []), event]);
  });
  return [...byJob.values()]
    .filter((list) => list.length > 1)
    .map((list) => {
      const points = list.map(({ at, process }) => `${x(at[0])},${y(process)}`);
      return `<polyline points="${points.join(' ')}" fill="none" stroke="#999" stroke-opacity="0.6"/>`;
    });
}

function renderMark(event: TimelineEvent, { x, y }: Scale, groups: readonly string[]): string {
  const text = `${formatTime(event.at[0])} ${event.process} ${event.type} ${event.subject} ${formatDetail(event)}`;
  const colour = colourOf(groupOf(event.type), groups);
  return `<circle cx="${x(event.at[0])}" cy="${y(event.process)}" r="5" fill="${colour}" fill-opacity="0.8"><title>${escapeHtml(text)}</title></circle>`;
}

function renderKey(group: string, groups: readonly string[]): string {
  return `<span class="key"><i style="background:${colourOf(group, groups)}"></i>${escapeHtml(group)}</span>`;
}

function renderRow(event: TimelineEvent): string {
  const cells = [
    formatTime(event.at[0]),
    event.process,
    event.type,
    event.subject,
    formatDetail(event),
  ];
  return `<tr>${cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`;
}

function groupOf(type: string): string {
  return type.split('.')[0] ?? type;
}

function colourOf(group: string, groups: readonly string[]): string {
  return COLOURS[groups.indexOf(group) % COLOURS.length] ?? '#444444';
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
