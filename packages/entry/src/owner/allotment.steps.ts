import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { bundleSchema, problem, ProblemError } from '@zincspan/core';
import { OwnerSteps } from './owner.steps.js';
import { ownerBundle } from './owner-world.support.js';

/** Two failure domains of one entry, and an account with a quota over both. */
class QuotaWorld extends OwnerSteps {
  pair: string[] = [];

  async one(tasks: number, accelerators: number): Promise<string> {
    await this.submit('render', tasks, accelerators);
    return this.job;
  }

  states(): string[] {
    return this.pair.map((id) => this.row(id).state);
  }

  allotments(): { value: { spare?: number; accelerators?: number }; version: number }[] {
    return this.store.scan('allotments/tuul/') as never;
  }

  guardOf(id: string): ReturnType<QuotaWorld['guard']> {
    return this.guard(this.row(id).members[0]?.worker ?? 'none');
  }
}

Given(
  'two failure domains with 2 workers each and a quota of {int} accelerators',
  async function (this: QuotaWorld, accelerators: number) {
    Object.setPrototypeOf(this, QuotaWorld.prototype);
    Object.assign(this, new QuotaWorld());
    this.failureDomains = ['hall', 'annex'];
    const bundle = ownerBundle();
    const accounts = bundle.accounts.map((account) => ({ ...account, quota: { accelerators } }));
    this.bundles.put(bundleSchema.parse({ ...bundle, accounts, guarantees: [] }));
    this.addEntry('entry-a');
    ['w1', 'w2'].forEach((id) => this.addWorker(id, 'hall'));
    ['w3', 'w4'].forEach((id) => this.addWorker(id, 'annex'));
    await this.own('entry-a');
    await this.timers.pass(6000);
  },
);

When(
  /^2 jobs of (\d) tasks? of (\d+) accelerators lie in different failure domains$/,
  async function (this: QuotaWorld, tasks: string, accelerators: string) {
    const size = [Number(tasks), Number(accelerators)] as const;
    this.pair = [await this.one(...size), await this.one(...size)];
    const at = this.pair.map((id) => this.row(id).failureDomain);
    assert.equal(new Set(at).size, 2, at.join());
  },
);

Then(
  '1 of them is started, and the other still waits after {int} ms',
  async function (this: QuotaWorld, ms: number) {
    await this.timers.until('one is started', () => this.states().includes('started'));
    await this.timers.pass(ms);
    assert.deepEqual(this.states().sort(), ['queued', 'started']);
  },
);

When('the started one has succeeded', async function (this: QuotaWorld) {
  const [id = ''] = this.pair.filter((each) => this.row(each).state === 'started');
  const workers = this.row(id).members.map(({ worker }) => worker);
  await Promise.all(workers.map((worker) => this.guard(worker).finish('succeeded')));
  await this.untilState(id, 'succeeded');
});

Then('the other one is started too', async function (this: QuotaWorld) {
  await this.timers.until('the other is started', () => this.states().includes('started'));
});

Then('both of them are started', async function (this: QuotaWorld) {
  await this.timers.until('both are started', () =>
    this.states().every((state) => state === 'started'),
  );
});

Then('the allotment rows of the account sum to {int}', function (this: QuotaWorld, total: number) {
  const sum = this.allotments().reduce(
    (all, { value }) => all + (value.spare ?? 0) + (value.accelerators ?? 0),
    0,
  );
  assert.equal(sum, total);
});

When(
  'jobs of 1 task of 1 accelerator come and go in one failure domain for {int} ms',
  async function (this: QuotaWorld, ms: number) {
    const until = this.timers.clock.now() + ms;
    while (this.timers.clock.now() < until) {
      const id = await this.one(1, 1);
      await this.untilState(id, 'started');
      await this.timers.pass(10_000);
      await this.guardOf(id).finish('succeeded');
      await this.untilState(id, 'succeeded');
    }
  },
);

Then(
  'the allotment rows of the account were written at most {int} times',
  function (this: QuotaWorld, most: number) {
    const writes = this.entryOf('entry-a').ctx.metrics.counters.get('allotment.written') ?? 0;
    assert.ok(writes > 0 && writes <= most, String(writes));
  },
);

Given('1 job of 8 accelerators has run to its end', async function (this: QuotaWorld) {
  const id = await this.one(1, 8);
  await this.untilState(id, 'started');
  await this.guardOf(id).finish('succeeded');
  await this.untilState(id, 'succeeded');
});

Given(
  'the table fails its next calls while the allotment is given back',
  async function (this: QuotaWorld) {
    const { table } = this.entryOf('entry-a');
    const write = table.write.bind(table);
    let failed = false;
    table.write = async (writes) => {
      const isReturn = writes.some(({ key }) => key.startsWith('allotments/'));
      if (!isReturn || failed) return write(writes);
      failed = true;
      throw new ProblemError(
        problem('store-unavailable', { detail: 'Lost.', remedy: 'Try again.', ran: 'unknown' }),
      );
    };
    await this.timers.until('a write has failed', () => failed);
  },
);

When('the entry is replaced by another one', async function (this: QuotaWorld) {
  await this.entryOf('entry-a').app.stop?.();
  this.ownerEntries.delete('entry-a');
  this.addEntry('entry-b');
  await this.own('entry-b');
});

Then('the spare row of the account has {int}', function (this: QuotaWorld, spare: number) {
  const { value } = this.store.get('allotments/tuul/spare');
  assert.equal((value as { spare: number }).spare, spare);
});
