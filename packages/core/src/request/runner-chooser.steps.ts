import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Problem } from '../error/problem.js';
import { Ejector } from './ejector.js';
import { LatencyTracker } from './latency-tracker.js';
import type { ChoosableRunner } from './runner-choice.js';
import { RunnerChooser } from './runner-chooser.js';

const ENTRIES = 2;
const QUERY = { kind: 'match', idempotent: true };

interface World {
  chooser: RunnerChooser;
  latency: LatencyTracker;
  ejector: Ejector;
  problems: Problem[];
}

function runner(id: string, slots = 8): ChoosableRunner {
  return { id, failureDomain: 'd', slots, kinds: [] };
}

function makeChooser(
  latency: LatencyTracker,
  random: () => number,
  ejector = new Ejector({ latency, slowFactor: Infinity }),
): RunnerChooser {
  const entries = (): number => ENTRIES;
  return new RunnerChooser({ random, failureDomain: 'd', entries, latency, ejector });
}

function pick(chooser: RunnerChooser, now = 0): string | undefined {
  const choice = chooser.choose(QUERY, now);
  if (choice.type === 'refused') return undefined;
  chooser.started(choice.runner, now);
  return choice.runner;
}

Given(
  'a runner chooser over {int} runners of {int} slots',
  function (this: World, count: number, slots: number) {
    let turn = 0;
    this.latency = new LatencyTracker();
    this.ejector = new Ejector({ latency: this.latency, slowFactor: Infinity });
    const random = (): number => {
      turn += 1;
      return (turn * 0.618) % 1;
    };
    this.chooser = makeChooser(this.latency, random, this.ejector);
    for (let i = 0; i < count; i += 1) this.chooser.announce(runner(`r${i}`, slots));
  },
);

When(
  'the runner chooser is asked until it refuses {int} times',
  function (this: World, times: number) {
    this.problems = [];
    for (let asked = 0; this.problems.length < times && asked < 1000; asked += 1) {
      const choice = this.chooser.choose(QUERY, 0);
      if (choice.type === 'refused') this.problems.push(choice.problem);
      else this.chooser.started(choice.runner, 0);
    }
  },
);

When('runner {string} drains', function (this: World, id: string) {
  this.chooser.announce(runner(id), { draining: true });
});

When(
  'runner {string} takes {int} ms and the others {int} ms',
  function (this: World, slow: string, slowMs: number, ms: number) {
    for (let i = 0; i < 100; i += 1) {
      const id = `r${i % 4}`;
      this.latency.observe({ runner: id, kind: 'match', ms: id === slow ? slowMs : ms });
    }
  },
);

Then(
  'those refusals are {string} with growing times to come back',
  function (this: World, kind: string) {
    assert.ok(this.problems.every((problem) => problem.kind === kind && problem.ran === 'not-run'));
    const times = this.problems.map(({ retryAfterMs = 0 }) => retryAfterMs);
    assert.ok(times.every((ms, i) => ms > (times[i - 1] ?? 0)));
  },
);

Then('that refusal is {string}', function (this: World, kind: string) {
  assert.equal(this.problems[0]?.kind, kind);
});

Then('the runner chooser picks {string} only', function (this: World, id: string) {
  const picked = Array.from({ length: 6 }, () => pick(this.chooser));
  assert.deepEqual([...new Set(picked)], [id]);
});

Then(
  'the runner chooser gives {string} less than {int} percent of {int} requests',
  function (this: World, id: string, percent: number, count: number) {
    let given = 0;
    for (let i = 0; i < count; i += 1) {
      const picked = pick(this.chooser, i);
      if (picked === id) given += 1;
      if (picked) this.chooser.ended(picked, { kind: 'match', how: 'abandoned' }, i);
    }
    assert.ok(given < (count * percent) / 100, `${given} of ${count}`);
  },
);

Then('a runner chooser keeps its bounds for any course of events', function () {
  const event = fc.record({
    type: fc.constantFrom('ask', 'ask', 'ask', 'end', 'announce', 'withdraw', 'drain'),
    at: fc.nat(3),
    random: fc.double({ min: 0, max: 0.999, noNaN: true }),
  });
  const keepsBounds = fc.property(fc.array(event, { maxLength: 200 }), (events) => {
    let random = 0;
    const chooser = makeChooser(new LatencyTracker(), () => random);
    const ready = new Set<string>();
    const inFlight: string[] = [];
    events.forEach(({ type, at, random: next }, now) => {
      random = next;
      const id = `r${at}`;
      if (type === 'announce' || type === 'drain') {
        chooser.announce(runner(id, 2 + at), { draining: type === 'drain' });
        if (type === 'announce') ready.add(id);
        else ready.delete(id);
      } else if (type === 'withdraw') {
        chooser.withdraw(id);
        ready.delete(id);
      } else if (type === 'end') {
        const ended = inFlight.shift();
        const load = { inUse: at, queued: 0, slots: 2 };
        if (ended) chooser.ended(ended, { kind: 'match', how: 'answered', ms: 5, load }, now);
      } else {
        const picked = pick(chooser, now);
        if (picked === undefined) return;
        assert.ok(ready.has(picked));
        inFlight.push(picked);
        const slots = 2 + Number(picked[1]);
        assert.ok(chooser.inFlight(picked) <= slots + Math.ceil((2 * slots) / ENTRIES));
      }
    });
  });
  fc.assert(keepsBounds);
});

function ejectAsSilent(this: World, id: string): void {
  this.chooser.started(id, 0);
  this.ejector.checkSilence(1000, 0);
  assert.deepEqual(this.ejector.ejected(1000), [id]);
}

When('runner {string} was ejected as silent', ejectAsSilent);

When('runner {string} was ejected as silent and is on trial', ejectAsSilent);

Then('the runner chooser has room for requests', function (this: World) {
  assert.ok(this.chooser.capacity(undefined, 0) > 0);
});

Then(
  'the runner chooser picks {string} for an idempotent request, and another beside it',
  function (this: World, id: string) {
    assert.equal(pick(this.chooser, 10_000), id);
    assert.notEqual(pick(this.chooser, 10_000), id);
  },
);

Then(
  'the runner chooser asks for the link of at most {int} runners',
  function (this: World, most: number) {
    let asked = 0;
    const reachable = (): boolean => {
      asked += 1;
      return true;
    };
    assert.equal(this.chooser.choose({ ...QUERY, reachable }, 0).type, 'chosen');
    assert.ok(asked <= most, `${asked}`);
  },
);

Then(
  'the runner chooser picks {string} if only that is linked',
  function (this: World, id: string) {
    const reachable = (other: string): boolean => other === id;
    const choice = this.chooser.choose({ ...QUERY, reachable }, 0);
    assert.deepEqual(choice, { type: 'chosen', runner: id });
  },
);

Then(
  'the runner chooser refuses as {string} if none is linked',
  function (this: World, kind: string) {
    const choice = this.chooser.choose({ ...QUERY, reachable: () => false }, 0);
    assert.ok(choice.type === 'refused' && choice.problem.kind === kind);
  },
);
