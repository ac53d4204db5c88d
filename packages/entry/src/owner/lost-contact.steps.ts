import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { MethodReq } from '@zincspan/core';
import { FAKE_CONTACT, type FakeGuard } from './fake-guard.support.js';
import type { OwnerSteps } from './owner.steps.js';

interface LostContactWorld extends OwnerSteps {
  cut: FakeGuard;
  cutAt: number;
}

/** Longest time between a guard's loss of contact and the owner's first vain order, with its retries. */
const NOTICED_MS = 5000;

/** Time since the loss of contact, as parts of what the guard told. */
function sinceCut({ timers, cutAt }: LostContactWorld): number {
  return timers.clock.now() - cutAt;
}

function checkSurelyEnded(world: LostContactWorld): void {
  const ms = sinceCut(world);
  assert.ok(ms >= FAKE_CONTACT.fencedMs, `only ${ms} ms`);
  assert.ok(ms < 2 * FAKE_CONTACT.fencedMs + NOTICED_MS, `as late as ${ms} ms`);
}

Given(
  'the guard of {string} says that a task is ready before its reservation is answered',
  function (this: LostContactWorld, worker: string) {
    this.guard(worker).saysReadyFirst = true;
  },
);

Then('the row of the submitted job has the times of its guards', function (this: LostContactWorld) {
  const { members } = this.row(this.job);
  assert.deepEqual(
    members.map(({ contact }) => contact),
    members.map(() => FAKE_CONTACT),
  );
});

When("the guard of the gang's first member loses contact", function (this: LostContactWorld) {
  const worker = this.row(this.job).members[0]?.worker ?? 'none';
  Object.assign(this, { cut: this.guard(worker), cutAt: this.timers.clock.now() });
  this.cut.closed = true;
  this.ownerEntries.forEach(({ upstreams }) => upstreams.expire());
  this.timers.clock.advance(11_000);
  this.guards.forEach((guard) => {
    if (!guard.closed) this.relink(guard);
  });
  this.ownerEntries.forEach(({ upstreams }) => upstreams.expire());
});

When("the guard of the gang's first member is in contact again", function (this: LostContactWorld) {
  this.relink(this.cut);
});

When(
  'the guard of {string} loses its answers for {int} ms, but is answered',
  async function (this: LostContactWorld, worker: string, ms: number) {
    const guard = this.guard(worker);
    guard.loseAnswers = Infinity;
    // Its announcements have run out, so the owner asks after the member.
    this.timers.clock.advance(11_000);
    this.ownerEntries.forEach(({ upstreams }) => upstreams.expire());
    for (let passed = 0; passed < ms; passed += 5000) {
      await this.timers.pass(5000);
      await guard.listener?.['task.usage']?.({ usages: [] }, guard);
    }
    guard.loseAnswers = 0;
    assert.ok(guard.methods.filter((method) => method === 'gang.start').length > 10);
  },
);

When(
  'the owner loses the table until the second entry owns the failure domain',
  async function (this: LostContactWorld) {
    this.entryOf('entry-a').table.faults.down = true;
    await this.timers.until('entry-b owns', () => this.entryOf('entry-b').owns);
  },
);

Then(
  "the gang's other member is stopped before the first has surely ended",
  async function (this: LostContactWorld) {
    const worker = this.row(this.job).members[1]?.worker ?? 'none';
    await this.timers.until('it is stopped', () => this.guard(worker).count('running') === 0);
    assert.equal(this.cut.count('running'), 1);
    assert.ok(sinceCut(this) < FAKE_CONTACT.fencedMs);
    assert.equal(this.row(this.job).state, 'started');
  },
);

Then(
  "the submitted job's next attempt starts once the first has surely ended",
  async function (this: LostContactWorld) {
    await this.timers.until('it runs again', () => {
      const { state, attempt } = this.row(this.job);
      return state === 'started' && attempt === 2;
    });
    checkSurelyEnded(this);
  },
);

Then(
  'the submitted job is lost once the first has surely ended',
  async function (this: LostContactWorld) {
    await this.untilState(this.job, 'failed');
    checkSurelyEnded(this);
  },
);

Then(
  /^(the second entry|the owner itself) says that owner "(.*)" of term (\d) is (reachable|unreachable)$/,
  async function (
    this: LostContactWorld,
    who: string,
    incarnation: string,
    term: string,
    how: string,
  ) {
    const entry = this.entryOf(who === 'the owner itself' ? 'entry-a' : 'entry-b');
    const holder = { id: incarnation.slice(0, 'entry-a'.length), incarnation };
    const req: MethodReq<'owner.reachable'> = { failureDomain: 'hall', term: Number(term), holder };
    const res = await entry.app.handlers?.['owner.reachable']?.(req, this.guard('w1'));
    assert.deepEqual(res, { reachable: how === 'reachable' });
  },
);
