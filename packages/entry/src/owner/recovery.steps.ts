import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { OwnerSteps, setUpOwner } from './owner.steps.js';

function owning(world: OwnerSteps): string[] {
  return [...world.ownerEntries].filter(([, entry]) => entry.owns).map(([id]) => id);
}

function die(world: OwnerSteps): void {
  world.entryOf('entry-a').app.stop?.();
  world.guards.forEach((guard) => Object.assign(guard, { listener: undefined }));
}

Given(
  /^(\d) entries that start at once(, the first write's answer lost)?$/,
  async function (this: OwnerSteps, count: string, lost: string | null) {
    await setUpOwner(this, '', { start: false });
    for (let i = 1; i < Number(count); i += 1) this.addEntry(`entry-${i}`);
    if (lost !== null) this.entryOf('entry-a').table.faults.responsesToLose = 1;
    await Promise.all([...this.ownerEntries.values()].map((entry) => entry.app.start?.()));
  },
);

Given('the worker {string} holds a reservation', async function (this: OwnerSteps, worker: string) {
  await this.timers.until('it is reserved', () => this.guard(worker).count('preparing') > 0);
});

Given(
  'the guard of {string} has seen term {int}',
  function (this: OwnerSteps, worker: string, term: number) {
    const { book, process } = this.guard(worker);
    book.admit({ failureDomain: 'hall', term, incarnation: process.incarnation });
  },
);

Given("the table has lost the lease's row", function (this: OwnerSteps) {
  const { version } = this.store.get('owners/hall');
  this.store.write('row-is-lost', [{ key: 'owners/hall', ifVersion: version, value: null }]);
});

Given("somebody has spoiled the lease's row", function (this: OwnerSteps) {
  const { version } = this.store.get('owners/hall');
  this.store.write('row-spoiled', [{ key: 'owners/hall', ifVersion: version, value: 'odd' }]);
});

When('the owner is drained', async function (this: OwnerSteps) {
  await this.entryOf('entry-a').app.drain?.();
  die(this);
});

When('the owner dies', function (this: OwnerSteps) {
  die(this);
});

When(
  'the owner is paused until the second entry owns the failure domain',
  async function (this: OwnerSteps) {
    const { app, table } = this.entryOf('entry-a');
    table.faults.down = true;
    // Paused, it doesn't hear of its successor either.
    Object.assign(app.handlers ?? {}, { 'owner.changed': () => ({}) });
    await this.timers.until('entry-b owns', () => this.entryOf('entry-b').owns);
    assert.ok(this.entryOf('entry-a').owns);
  },
);

When(
  'the paused owner places a job of its own on {string}',
  async function (this: OwnerSteps, worker: string) {
    await this.submit('entry', 1, 1, 'entry-b');
    const { guards } = this;
    guards.forEach((guard) => this.listen(guard, this.entryOf('entry-b').app.handlers));
    const row = this.row(this.job);
    await this.entryOf('entry-a').app.handlers?.['job.queued']?.(
      { row: { ...row, id: 'of-the-paused' }, version: 1 },
      this.guard(worker),
    );
    // It learns of its replacement from the guard alone: its table stays out of reach.
    this.relink(this.guard(worker));
  },
);

When('the guard of {string} is restarted', function (this: OwnerSteps, worker: string) {
  this.guard(worker).restart();
  this.relink(this.guard(worker));
});

When(
  'the link to {string} is cut for {int} ms',
  async function (this: OwnerSteps, worker: string, ms: number) {
    this.guard(worker).closed = true;
    await this.timers.pass(ms);
    this.relink(this.guard(worker));
  },
);

When('the table is down for everybody for {int} ms', async function (this: OwnerSteps, ms: number) {
  const set = (down: boolean): void =>
    this.ownerEntries.forEach(({ table }) => Object.assign(table.faults, { down }));
  set(true);
  await this.timers.pass(ms);
  set(false);
  await this.timers.pass(5000);
});

Then('the second entry owns the failure domain', async function (this: OwnerSteps) {
  await this.timers.until('entry-b owns', () => this.entryOf('entry-b').owns);
  this.guards.forEach((guard) => this.listen(guard, this.entryOf('entry-b').app.handlers));
});

Then('the paused owner knows that it was replaced', async function (this: OwnerSteps) {
  await this.timers.until('it knows', () => !this.entryOf('entry-a').owns);
});

Then('exactly {int} of them owns the failure domain', function (this: OwnerSteps, count: number) {
  assert.equal(owning(this).length, count);
});

Then('the first entry still owns the failure domain', function (this: OwnerSteps) {
  assert.deepEqual(owning(this), ['entry-a']);
  assert.equal(this.entryOf('entry-a').ctx.metrics.counters.get('lease.gained'), 1);
});

Then("the owner's term is {int}", function (this: OwnerSteps, term: number) {
  const { hall } = this.entryOf('entry-a').app.status?.() as { hall: { term: number } };
  assert.equal(hall.term, term);
});
