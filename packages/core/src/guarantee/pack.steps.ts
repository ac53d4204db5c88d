import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { makeWorkers, shapeOf } from '../scheduler/domain.support.js';
import { guaranteeSchema } from './guarantee.js';
import { checkGuarantees, type GuaranteeCheck } from './pack.js';

interface PackWorld {
  check: GuaranteeCheck;
}

Given(
  'packing {int} copies of {int} tasks of {int} accelerators in a rack on {int} workers',
  function (this: PackWorld, count: number, tasks: number, accelerators: number, workers: number) {
    const shape = shapeOf(tasks, accelerators, 'rack');
    const guarantee = guaranteeSchema.parse({ name: 'g', account: 'a', shape, count });
    this.check = checkGuarantees({ guarantees: [guarantee] }, makeWorkers(workers));
  },
);

Given(
  'packing 1 copy of 1 task of {int} accelerators pinned to a failure domain without workers',
  function (this: PackWorld, accelerators: number) {
    const guarantee = guaranteeSchema.parse({
      name: 'g',
      account: 'a',
      shape: shapeOf(1, accelerators, 'worker'),
      failureDomain: 'annex',
    });
    const workers = makeWorkers(3).map((worker) => ({ ...worker, failureDomain: 'hall' }));
    this.check = checkGuarantees({ guarantees: [guarantee] }, workers);
  },
);

Then('packing says that they fit', function (this: PackWorld) {
  assert.deepEqual(this.check, { fits: true });
});

Then("packing says that they don't fit", function (this: PackWorld) {
  assert.equal(this.check.fits, false);
});

Then("packing says that they don't fit, and with which worker lost", function (this: PackWorld) {
  assert.ok(!this.check.fits && this.check.numbers.lostWorker !== undefined);
});

Then(
  'packing counts {int} copy left over of {int} accelerators asked for and {int} there',
  function (this: PackWorld, left: number, asked: number, there: number) {
    assert.ok(!this.check.fits);
    const { copiesLeft, acceleratorsAsked, accelerators } = this.check.numbers;
    assert.deepEqual([copiesLeft, acceleratorsAsked, accelerators], [left, asked, there]);
  },
);
