import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { OwnerSteps } from '../owner/owner.steps.js';

/** Two failure domains, both owned by entry-a, and an entry that owns neither. */
export class TwoDomains extends OwnerSteps {
  sent: string[] = [];

  waiting = '';

  async send(entry = 'entry-b', tasks = 1, accelerators = 1): Promise<string> {
    await this.submit('render', tasks, accelerators, entry);
    this.sent.push(this.job);
    return this.job;
  }

  /** Waits until the second entry has heard of everything that the owner has told. */
  async heard(): Promise<void> {
    await this.timers.pass(6000);
  }

  lose(workers: string): void {
    names(workers).forEach((id) => Object.assign(this.guard(id), { closed: true }));
    names(workers).forEach((id) => this.guards.delete(id));
    this.timers.clock.advance(10_001);
    this.ownerEntries.forEach((entry) => {
      this.guards.forEach((guard) => OwnerSteps.announce(entry, guard));
      entry.upstreams.expire();
    });
  }
}

function names(list: string): string[] {
  return list.split(', ').filter(Boolean);
}

Given(
  'failure domain {string} with workers {string} and failure domain {string} with workers {string}',
  async function (this: TwoDomains, hall: string, w1: string, annex: string, w2: string) {
    Object.setPrototypeOf(this, TwoDomains.prototype);
    Object.assign(this, new TwoDomains());
    this.failureDomains = [hall, annex];
    this.addEntry('entry-a');
    names(w1).forEach((id) => this.addWorker(id, hall));
    names(w2).forEach((id) => this.addWorker(id, annex));
    await this.own('entry-a');
    await this.addEntry('entry-b').app.start?.();
    await this.heard();
  },
);

Given(
  /^(\d+) jobs (?:were|are) sent through the entry that owns neither$/,
  async function (this: TwoDomains, count: string) {
    for (let i = 0; i < Number(count); i += 1) await this.send();
  },
);

When(
  'a job of {int} tasks of {int} accelerators is sent through the entry that owns neither',
  async function (this: TwoDomains, tasks: number, accelerators: number) {
    await this.send('entry-b', tasks, accelerators);
  },
);

Given('jobs fill all of {string}', async function (this: TwoDomains, failureDomain: string) {
  for (let i = 0; i < this.guards.size; i += 1) {
    await this.untilState(await this.send('entry-a', 1, 8), 'started');
  }
  const others = [...this.guards.values()].filter(
    ({ process }) => process.failureDomain !== failureDomain,
  );
  await Promise.all(others.map((guard) => guard.finish('succeeded')));
  await this.heard();
});

When(
  'the workers {string} of a failure domain are lost',
  async function (this: TwoDomains, w: string) {
    this.lose(w);
    await this.heard();
  },
);

Then(
  'the latest {int} jobs sent all lie in {string}',
  function (this: TwoDomains, count: number, failureDomain: string) {
    const at = this.sent.slice(-count).map((id) => this.row(id).failureDomain);
    assert.deepEqual(
      at,
      Array.from({ length: count }, () => failureDomain),
    );
  },
);

Then(
  'of the latest {int} jobs sent {int} lie in {string}',
  function (this: TwoDomains, count: number, here: number, failureDomain: string) {
    const at = this.sent.slice(-count).map((id) => this.row(id).failureDomain);
    assert.equal(at.filter((each) => each === failureDomain).length, here);
  },
);

Given(
  'a job of 1 task of 8 accelerators runs in {string} and another one waits there',
  async function (this: TwoDomains, failureDomain: string) {
    const first = await this.send('entry-a', 1, 8);
    await this.untilState(first, 'started');
    this.waiting = await this.send('entry-a', 1, 8);
    assert.equal(this.row(this.waiting).failureDomain, failureDomain);
  },
);

Given(
  'a claim is held in {string} and a job fills it while another one waits inside it',
  async function (this: TwoDomains, failureDomain: string) {
    await this.http('POST', '/v1/claims', { payload: { guarantee: 'studio' } });
    const claim = String(this.last.body.id);
    await this.timers.until('the claim is held', () => {
      const { value } = this.store.get(`claims/tuul/${claim}`);
      return (value as { state: string } | null)?.state === 'held';
    });
    const shape = { tasks: 2, acceleratorsPerTask: 4 };
    const submit = async (): Promise<string> => {
      await this.http('POST', '/v1/jobs', { payload: { kind: 'render', shape, claim } });
      return String(this.last.body.id);
    };
    await this.untilState(await submit(), 'started');
    this.waiting = await submit();
    assert.equal(this.row(this.waiting).failureDomain, failureDomain);
  },
);

When(
  'worker {string} joins failure domain {string}',
  function (this: TwoDomains, id: string, failureDomain: string) {
    this.listen(this.addWorker(id, failureDomain), this.entryOf('entry-a').app.handlers);
  },
);

Given(
  'the waiting job was tried in vain in {string}',
  async function (this: TwoDomains, at: string) {
    const key = `jobs/tuul/${this.waiting}`;
    const [guard] = [...this.guards.values()].filter(({ process }) => process.failureDomain === at);
    assert.ok(guard);
    guard.autoReady = false;
    await guard.finish('succeeded');
    await this.timers.until('it is reserved', () =>
      guard.book.inventory().some(({ ref }) => ref.key === key),
    );
    Object.assign(guard, { closed: true });
    this.lose(guard.worker.id);
  },
);

Then(
  'the waiting job is moved to {string} and started there',
  async function (this: TwoDomains, failureDomain: string) {
    await this.timers.until(
      'it is moved',
      () => this.row(this.waiting).failureDomain === failureDomain,
    );
    await this.untilState(this.waiting, 'started');
    assert.ok((this.entryOf('entry-a').ctx.metrics.counters.get('job.moved') ?? 0) > 0);
  },
);

Then(
  "nothing is left beside the moved job's row in {string}",
  function (this: TwoDomains, failureDomain: string) {
    const { value } = this.store.get(`active/${failureDomain}/tuul/${this.waiting}`);
    assert.equal(value, null);
    assert.equal(this.row(this.waiting).outcome, undefined);
  },
);

Then('the waiting job still lies in {string}', function (this: TwoDomains, at: string) {
  assert.equal(this.row(this.waiting).failureDomain, at);
});

Then('the waiting job was started {int} time', function (this: TwoDomains, times: number) {
  const ran = [...this.guards.values()].flatMap((guard) => guard.ran);
  assert.equal(ran.filter((each) => each.includes(this.waiting)).length, times);
});

Then('its attempt there has a number above the one tried in vain', function (this: TwoDomains) {
  assert.ok(this.row(this.waiting).attempt > 1, String(this.row(this.waiting).attempt));
});
