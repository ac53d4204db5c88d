import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { makeWorkers, shapeOf, TestDomain } from '../scheduler/domain.support.js';
import { assignCopies, type CopyAssignment } from './copy-assignment.js';
import { guaranteeSchema, type Guarantee } from './guarantee.js';
import type { PlacedWorker } from './pack.js';

interface CopiesWorld {
  guarantee: Guarantee;
  placed: (PlacedWorker & { failureDomain: string })[];
  assigned: CopyAssignment;
  domain: TestDomain;
}

function guaranteeOf(count: number, accelerators: number): Guarantee {
  const shape = shapeOf(1, accelerators, 'worker');
  return guaranteeSchema.parse({ name: 'anywhere', account: 'guests', shape, count });
}

Given(
  'copies are assigned of a guarantee of {int} copies of {int} accelerators over {string}',
  function (this: CopiesWorld, count: number, accelerators: number, sizes: string) {
    this.guarantee = guaranteeOf(count, accelerators);
    this.placed = sizes.split(', ').flatMap((each) => {
      const [failureDomain = '', workers] = each.split(':');
      return makeWorkers(Number(workers)).map((worker) => ({
        ...worker,
        id: `${failureDomain}-${worker.id}`,
        failureDomain,
      }));
    });
    this.assigned = assignCopies([this.guarantee], this.placed);
  },
);

Then(
  '{int} copies are assigned in all, at most {int} to {string} and at most {int} to {string}',
  function (this: CopiesWorld, all: number, m1: number, d1: string, m2: number, d2: string) {
    const at = (name: string): number => this.assigned.get(name)?.anywhere ?? 0;
    assert.equal(at(d1) + at(d2), all);
    assert.ok(at(d1) <= m1 && at(d2) <= m2, JSON.stringify([...this.assigned]));
  },
);

Then(
  'the same copies are assigned whatever the order of the workers',
  function (this: CopiesWorld) {
    const again = assignCopies([this.guarantee], [...this.placed].reverse());
    assert.deepEqual(again, this.assigned);
  },
);

Given(
  'a scheduler with {int} workers and a guarantee of {int} copies of {int} accelerators anywhere',
  function (this: CopiesWorld, workers: number, count: number, accelerators: number) {
    this.domain = new TestDomain({ workers });
    const { bundle } = this.domain;
    this.domain.tell({ type: 'guarantee-copies', counts: {} });
    const guarantees = [guaranteeOf(count, accelerators)];
    this.domain.tell({ type: 'bundle', bundle: { ...bundle, guarantees } });
    this.domain.decisions.length = 0;
  },
);

When(
  'it is told that {int} of the copies are its own',
  function (this: CopiesWorld, anywhere: number) {
    this.domain.tell({ type: 'guarantee-copies', counts: { anywhere } });
  },
);

When('the guarantee is claimed there', function (this: CopiesWorld) {
  this.domain.claim('guests', 'anywhere');
});

Then('the claim is held there', function (this: CopiesWorld) {
  assert.equal(this.domain.held.size, 1);
});

Then('no guarantee is found broken there', function (this: CopiesWorld) {
  assert.deepEqual(this.domain.of('guarantee-broken'), []);
});

Then('the guarantee is found broken there', function (this: CopiesWorld) {
  assert.equal(this.domain.of('guarantee-broken').length, 1);
});
