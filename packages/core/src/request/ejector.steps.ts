import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Ejector } from './ejector.js';
import { LatencyTracker } from './latency-tracker.js';

const TAIL_MS = 100;

interface World {
  latency: LatencyTracker;
  ejector: Ejector;
  runners: string[];
  now: number;
}

function answer({ latency, ejector, now }: World, runner: string, ms: number): void {
  ejector.started(runner, now);
  latency.observe({ runner, kind: 'match', ms });
  ejector.ended(runner, 'answered', now);
}

Given('an ejector over {int} runners', function (this: World, count: number) {
  this.now = 0;
  this.latency = new LatencyTracker();
  this.ejector = new Ejector({ latency: this.latency });
  this.runners = Array.from({ length: count }, (_, i) => `r${i}`);
  this.runners.forEach((id) => this.ejector.add(id));
});

When(
  'runner {string} gets requests and answers none for {int} ms',
  function (this: World, id: string, ms: number) {
    for (; this.now < ms; this.now += 100) {
      this.ejector.started(id, this.now);
      this.ejector.checkSilence(this.now, TAIL_MS);
    }
  },
);

When(
  'runner {string} has one slow request and answers others for {int} ms',
  function (this: World, id: string, ms: number) {
    this.ejector.started(id, this.now);
    for (; this.now < ms; this.now += 100) {
      answer(this, id, 40);
      this.ejector.checkSilence(this.now, TAIL_MS);
    }
  },
);

When(
  'every runner answers {int} requests in {int} ms but {string} in {int} ms',
  function (this: World, count: number, ms: number, odd: string, oddMs: number) {
    for (let i = 0; i < count; i += 1) {
      this.runners.forEach((id) => answer(this, id, id === odd ? oddMs : ms));
    }
  },
);

When(
  '{int} runners fail {int} requests each',
  function (this: World, count: number, times: number) {
    this.runners.slice(0, count).forEach((id) => {
      for (let i = 0; i < times; i += 1) {
        this.ejector.started(id, this.now);
        this.ejector.ended(id, 'failed', this.now);
      }
    });
  },
);

When('the ejector waits {int} ms', function (this: World, ms: number) {
  this.now += ms;
});

When('runner {string} answers {int} probes', function (this: World, id: string, count: number) {
  for (let i = 0; i < count; i += 1) answer(this, id, 40);
});

Then('the ejector has out {string}', function (this: World, ids: string) {
  assert.equal(this.ejector.ejected(this.now).join(','), ids);
});

Then('the ejector gives {string} one request at a time', function (this: World, id: string) {
  assert.equal(this.ejector.mayUse(id, this.now), true);
  this.ejector.started(id, this.now);
  assert.equal(this.ejector.mayUse(id, this.now), false);
  this.ejector.ended(id, 'abandoned', this.now);
});

Then('the ejector has {string} closed', function (this: World, id: string) {
  assert.equal(this.ejector.health(id, this.now), 'closed');
});
