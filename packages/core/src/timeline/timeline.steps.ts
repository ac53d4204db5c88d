import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { HybridClock } from '../clock/hybrid-clock.js';
import type { TimelineEvent } from './event.js';
import { Timeline, mergeTimelines } from './timeline.js';

interface TimelineWorld {
  timeline: Timeline;
  other: Timeline;
  events: TimelineEvent[];
}

function clockAt(wall: number): HybridClock {
  return new HybridClock({ clock: { now: () => wall, wall: () => wall }, maxDriftMs: 7_200_000 });
}

Given(
  'a time line with events of jobs {string} and {string}',
  function (this: TimelineWorld, first: string, second: string) {
    this.timeline = new Timeline({ process: 'entry-1', hybrid: clockAt(1000) });
    [first, second].forEach((job) => {
      this.timeline.record('job.started', job, { job });
      this.timeline.record('task.ended', `${job}~1~0`, { job });
    });
  },
);

When('the time line is read for job {string}', function (this: TimelineWorld, job: string) {
  this.events = this.timeline.read({ job });
});

Then('only events of {string} are read', function (this: TimelineWorld, job: string) {
  assert.deepEqual(
    this.events.map((event) => event.job),
    [job, job],
  );
});

Given(
  'a time line of {int} events that took {int}',
  function (this: TimelineWorld, size: number, count: number) {
    this.timeline = new Timeline({ process: 'entry-1', hybrid: clockAt(1000), size });
    Array.from({ length: count }, (_, n) => this.timeline.record('tick', `${n}`));
  },
);

Then(
  'the time line has kept its latest event and counted what it dropped',
  function (this: TimelineWorld) {
    const events = this.timeline.read({ limit: 10_000 });
    assert.equal(events.at(-1)?.subject, '999');
    assert.equal(events.length + this.timeline.dropped, 1000);
    assert.ok(events.length <= 125);
  },
);

Given(
  'a time line whose process told another, with its clock an hour behind',
  function (this: TimelineWorld) {
    const [ahead, behind] = [clockAt(3_600_000), clockAt(1000)];
    this.timeline = new Timeline({ process: 'entry-1', hybrid: ahead });
    this.other = new Timeline({ process: 'guard-1', hybrid: behind });
    this.timeline.record('cause', 'a');
    behind.merge(ahead.tick());
    this.other.record('effect', 'a');
  },
);

Then('the merged time line has the cause before the effect', function (this: TimelineWorld) {
  const merged = mergeTimelines([this.other.read(), this.timeline.read()]);
  assert.deepEqual(
    merged.map(({ type }) => type),
    ['cause', 'effect'],
  );
});
