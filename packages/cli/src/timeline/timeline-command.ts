/** `zincspan timeline`: events of all processes in one causal order. */
import { writeFileSync } from 'node:fs';
import type { DependencyContainer } from 'tsyringe';
import { countFlag, textFlag, type Command, type Flags } from '../command/command.js';
import { CLIENT, OUTPUT } from '../container/container.js';
import { readTimeline } from '../report/report-calls.js';
import { formatTimeline } from './format-timeline.js';
import { parseSince } from './since.js';
import { renderTimelineHtml } from './timeline-html.js';

/** Changes nothing. */
export const TIMELINE_COMMAND: Command = {
  name: 'timeline',
  description: 'Show the events of all processes in one causal order',
  options: [
    ['--job <id>', 'Events of this job, request, claim or subject only'],
    ['--since <when>', '90s, 10m, 2h, 1d ago, or a date and time'],
    ['--limit <count>', 'The latest so many; default 2000'],
    ['--html <file>', 'Write a page with a picture to this file'],
  ],
  run: timeline,
};

async function timeline(c: DependencyContainer, _args: string[], flags: Flags): Promise<void> {
  const job = textFlag(flags, 'job');
  const since = textFlag(flags, 'since');
  const limit = countFlag(flags, 'limit');
  const report = await readTimeline(c.resolve(CLIENT), {
    ...(job === undefined ? {} : { job }),
    ...(since === undefined ? {} : { since: parseSince(since) }),
    ...(limit === undefined ? {} : { limit }),
  });
  const file = textFlag(flags, 'html');
  if (file === undefined) {
    c.resolve(OUTPUT).result(report, () => formatTimeline(report));
    return;
  }
  const title = job === undefined ? 'zincspan time line' : `zincspan time line of ${job}`;
  writeFileSync(file, renderTimelineHtml(report, { title }));
  const events = report.events.length;
  c.resolve(OUTPUT).result({ file, events }, () => `${events} events are drawn in ${file}.`);
}
