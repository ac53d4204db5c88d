import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { RowWrite } from '../table/table.js';
import {
  allotmentKey,
  planAllotment,
  planTotal,
  spareKey,
  splitQuota,
  type AllotmentRow,
  type SpareRow,
  type Versioned,
} from './quota-allotment.js';

/** A table that does nothing but compare and set. */
class Rows {
  readonly #rows = new Map<string, Versioned<unknown>>();

  read<T>(key: string): Versioned<T> | undefined {
    return this.#rows.get(key) as Versioned<T> | undefined;
  }

  write(writes: RowWrite[] | undefined): void {
    const stale = writes?.some(
      ({ key, ifVersion }) => (this.#rows.get(key)?.version ?? 0) !== ifVersion,
    );
    if (writes === undefined || stale) return;
    writes.forEach(({ key, ifVersion, value }) =>
      this.#rows.set(key, { version: ifVersion + 1, value }),
    );
  }

  setTotal(total: number): void {
    const spare = this.read<SpareRow>(spareKey('a'));
    this.write(planTotal({ account: 'a', total, spare }));
  }

  plan(failureDomain: string, wanted: number, inUse: number): RowWrite[] | undefined {
    const spare = this.read<SpareRow>(spareKey('a')) as Versioned<SpareRow>;
    const allotment = this.read<AllotmentRow>(allotmentKey('a', failureDomain));
    return planAllotment({ account: 'a', failureDomain, wanted, inUse, spare, allotment });
  }

  allotted(failureDomain: string): number {
    return this.read<AllotmentRow>(allotmentKey('a', failureDomain))?.value.accelerators ?? 0;
  }
}

class AllotmentTrial {
  rows = new Rows();
}

interface World {
  trial: AllotmentTrial;
}

Given(
  'allotments of {int} for {string} and {int} for {string} of a quota of {int}',
  function (this: World, one: number, a: string, two: number, b: string, total: number) {
    this.trial = new AllotmentTrial();
    this.trial.rows.setTotal(total);
    this.trial.rows.write(this.trial.rows.plan(a, one, 0));
    this.trial.rows.write(this.trial.rows.plan(b, two, 0));
  },
);

When('the quota is lowered to {int}', function (this: World, total: number) {
  this.trial.rows.setTotal(total);
});

When(
  '{string} wants {int} with {int} in use and {string} wants {int} with {int} in use',
  function (
    this: World,
    a: string,
    wantedA: number,
    usedA: number,
    b: string,
    wantedB: number,
    usedB: number,
  ) {
    this.trial.rows.write(this.trial.rows.plan(a, wantedA, usedA));
    this.trial.rows.write(this.trial.rows.plan(b, wantedB, usedB));
  },
);

Then(
  'the allotments are {int} for {string} and {int} for {string}',
  function (this: World, one: number, a: string, two: number, b: string) {
    assert.deepEqual([this.trial.rows.allotted(a), this.trial.rows.allotted(b)], [one, two]);
  },
);

Then('any split of a quota sums to it', function () {
  const weights = fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 1, maxLength: 18 });
  const sumsUp = fc.property(fc.nat(100_000), weights, (total, list) => {
    const split = splitQuota(total, new Map(list.map((weight, i) => [`d${i}`, weight])));
    const sum = [...split.values()].reduce((a, b) => a + b, 0);
    assert.equal(sum, list.some((weight) => weight > 0) ? total : 0);
  });
  fc.assert(sumsUp);
});

Then('allotments hold the quota for any race of failure domains', function () {
  const step = fc.record({
    domain: fc.constantFrom('d0', 'd1', 'd2'),
    wanted: fc.nat(40),
    used: fc.double({ min: 0, max: 1, noNaN: true }),
    /** Others write between this one's reading and its writing. */
    delayed: fc.boolean(),
    total: fc.option(fc.nat(60), { nil: undefined, freq: 8 }),
  });
  const holds = fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
    const rows = new Rows();
    rows.setTotal(30);
    let late: RowWrite[] | undefined;
    steps.forEach(({ domain, wanted, used, delayed, total }) => {
      if (total !== undefined) rows.setTotal(total);
      const before = rows.allotted(domain);
      const inUse = Math.floor(before * used);
      const plan = rows.plan(domain, wanted, inUse);
      if (!delayed) rows.write(plan);
      rows.write(late);
      late = delayed ? plan : undefined;
      const allotted = ['d0', 'd1', 'd2'].map((name) => rows.allotted(name));
      const { value: spare } = rows.read<SpareRow>(spareKey('a')) as Versioned<SpareRow>;
      const sum = allotted.reduce((a, b) => a + b, 0);
      assert.equal(sum + spare.spare, spare.total);
      assert.ok(allotted.every((accelerators) => accelerators >= 0));
      assert.ok(delayed || rows.allotted(domain) >= Math.min(inUse, before));
      assert.ok(sum <= spare.total || rows.allotted(domain) <= before);
    });
  });
  fc.assert(holds);
});
