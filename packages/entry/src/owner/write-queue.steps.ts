import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { CountingMetrics, type RowWrite, type WriteResult } from '@zincspan/core';
import { MemoryTable } from '@zincspan/platform';
import { ManualTimers } from './manual-timers.support.js';
import { WriteQueue } from './write-queue.js';

interface QueueWorld {
  table: MemoryTable;
  queue: WriteQueue;
  held: (() => void)[];
  sent: number;
  results: Promise<WriteResult>[];
}

function enqueue(world: QueueWorld, writes: RowWrite[][]): void {
  Object.assign(world, { results: writes.map((each) => world.queue.write(each)) });
}

Given(
  'a write queue whose table answers on command, {int} transactions at once',
  function (this: QueueWorld, concurrency: number) {
    const table = new MemoryTable();
    Object.assign(this, { table, held: [], sent: 0 });
    const write = async (writes: RowWrite[]): Promise<WriteResult> => {
      this.sent += 1;
      await new Promise<void>((resolve) => {
        this.held.push(resolve);
      });
      return table.write(writes);
    };
    const slow = { write, get: table.get.bind(table), scan: table.scan.bind(table) };
    this.queue = new WriteQueue({ table: slow, metrics: new CountingMetrics(), concurrency });
  },
);

Given('a row of the 5th write was changed by somebody else', async function (this: QueueWorld) {
  await this.table.write([{ key: 'b/4', ifVersion: 0, value: 'theirs' }]);
});

When('{int} writes of 2 rows are queued', function (this: QueueWorld, count: number) {
  const write = (i: number): RowWrite[] =>
    ['a', 'b'].map((table) => ({ key: `${table}/${i}`, ifVersion: 0, value: i }));
  enqueue(
    this,
    Array.from({ length: count }, (_, i) => write(i)),
  );
});

When('{int} writes of the same row are queued', function (this: QueueWorld, count: number) {
  enqueue(
    this,
    Array.from({ length: count }, (_, i) => [{ key: 'a/0', ifVersion: i, value: i }]),
  );
});

When("the queue's table answers everything", async function (this: QueueWorld) {
  let done = false;
  void Promise.all(this.results).then(() => {
    done = true;
  });
  while (!done) {
    this.held.splice(0).forEach((answer) => answer());
    await ManualTimers.settle();
  }
});

Then('all queued writes are written with their own versions', async function (this: QueueWorld) {
  const results = await Promise.all(this.results);
  results.forEach((result) => assert.deepEqual(result, { outcome: 'written', versions: [1, 1] }));
  assert.equal(this.table.store.get('b/49').value, 49);
});

Then('all queued writes but the 5th are written', async function (this: QueueWorld) {
  const outcomes = (await Promise.all(this.results)).map(({ outcome }) => outcome);
  const expected = outcomes.map((_, i) => (i === 4 ? 'conflict' : 'written'));
  assert.deepEqual(outcomes, expected);
});

Then('the queue used {int} transactions', function (this: QueueWorld, count: number) {
  assert.equal(this.sent, count);
});
