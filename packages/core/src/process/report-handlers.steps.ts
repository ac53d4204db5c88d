import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { HybridClock } from '../clock/hybrid-clock.js';
import { ManualClock } from '../clock/manual-clock.js';
import { MAX_BODY_BYTES } from '../message/message.js';
import type { Peer } from '../message/peer.js';
import type { TimelineEvent } from '../timeline/event.js';
import { Timeline } from '../timeline/timeline.js';
import { reportHandlers } from './report-handlers.js';

interface ReportWorld {
  timeline: Timeline;
  count: number;
  answer: { events: TimelineEvent[]; dropped: number };
}

Given(
  'a process report with {int} events of {int} bytes',
  function (this: ReportWorld, count: number, bytes: number) {
    const hybrid = new HybridClock({ clock: new ManualClock() });
    this.count = count;
    this.timeline = new Timeline({ process: 'p', hybrid, size: count });
    for (let i = 0; i < count; i += 1) {
      this.timeline.record('test.event', `subject-${i}`, { text: 'x'.repeat(bytes) });
    }
  },
);

When('the process report of its time line is read', async function (this: ReportWorld) {
  const handlers = reportHandlers({ ctx: { timeline: this.timeline }, status: () => ({}) });
  const answer = await handlers['timeline.read']?.({ limit: 10_000 }, {} as Peer);
  assert.ok(answer);
  this.answer = answer;
});

Then(
  'the process report fits in one message and says what it left out',
  function (this: ReportWorld) {
    const { events, dropped } = this.answer;
    assert.ok(Buffer.byteLength(JSON.stringify(events)) < MAX_BODY_BYTES);
    assert.equal(events.length + dropped, this.count);
    assert.ok(events.length > 1000);
    assert.equal(events[events.length - 1]?.subject, `subject-${this.count - 1}`);
  },
);
