import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { OWNER_ROW_KEY } from '../owner/owner-row.js';
import {
  cellOf,
  submitJob,
  firstJob,
  nonOwnerEntry,
  ownerEntry,
  type CellTestContext,
  type Entry,
} from '../owner/cell-test-context.support.js';
import { TestCell, jobCall, eventually } from '../testing/test-cell.support.js';
import { TEST_PATH_PREFIX } from '../testing/test-jobs.support.js';

/** Links beside the owner's that each entry keeps. */
const NEIGHBOURS = 2;

/** Whether the owner has told each entry that the last two that joined take the cell before all others. */
function areNamedFirst(world: CellTestContext): boolean {
  const owner = ownerEntry(world);
  const strong = cellOf(world).entries.slice(-2);
  const told = cellOf(world).logged('rank among successors changed');
  return entriesButOwner(world).every((entry) => {
    const last = told.findLast(({ by }) => by === entry.id);
    if (last?.toldBy !== owner.id) return false;
    const rank = typeof last.rank === 'number' ? last.rank : Infinity;
    return strong.includes(entry) === rank < strong.length;
  });
}

/** Who was to take the cell, as the entries saw it, and who did: for a scenario that fails. */
function describeSuccession(world: CellTestContext): string {
  const cell = cellOf(world);
  const ranks = cell
    .logged('rank among successors changed')
    .map(({ at, by, rank, toldBy }) => JSON.stringify({ at, by, rank, toldBy }));
  const taken = cell.logged('ownership taken').map(({ at, by }) => JSON.stringify({ at, by }));
  return ['ranks', ...ranks, 'taken', ...taken].join('\n');
}

function entriesButOwner(world: CellTestContext): Entry[] {
  const owner = ownerEntry(world);
  return cellOf(world).entries.filter((entry) => entry !== owner);
}

/**
 * Each entry knows who takes the cell by then, in ms: a heartbeat tells the owner of an entry, another is sent by a list that is as old,
 * a third brings it, and those that aren't named look once a second.
 */
const NAMED_WITHIN_MS = 4000;

/** Links that an entry has dialled and that are up. */
function dialled({ app }: Entry): string[] {
  return app.peers.map(({ process }) => process.id);
}

async function areLinked(world: CellTestContext): Promise<boolean> {
  return eventually(() => {
    const owner = cellOf(world).owner();
    return cellOf(world).entries.every((entry) => {
      const links = dialled(entry);
      const others = links.filter((id) => id !== owner?.id).length;
      return others === NEIGHBOURS && (entry === owner || links.includes(owner?.id ?? ''));
    });
  });
}

async function stateAt(entry: Entry, world: CellTestContext): Promise<string> {
  const result = await entry.app.calls.state(jobCall(firstJob(world)));
  return result.outcome === 'state' ? result.state : result.outcome;
}

async function waitingAt(entry: Entry): Promise<number | string> {
  const result = await entry.app.calls.waiting({ ...jobCall(''), path: TEST_PATH_PREFIX });
  return result.outcome === 'waiting' ? result.count : result.outcome;
}

async function handInAtOwner(world: CellTestContext, count: number): Promise<void> {
  for (let each = 0; each < count; each++) {
    await submitJob(world, { entry: ownerEntry(world), spec: { workMs: 50 } });
  }
}

Given(
  'a cell of 5 entries, the last two of which have more of a processor, and 1 worker',
  async function (this: CellTestContext) {
    const cell = new TestCell();
    this.cell = cell;
    this.jobs = [];
    await cell.start(3, 1);
    await cell.addEntry({ processorShare: 2 });
    await cell.addEntry({ processorShare: 2 });
    assert.ok(await areLinked(this));
    assert.ok(
      await eventually(() => areNamedFirst(this), NAMED_WITHIN_MS),
      describeSuccession(this),
    );
  },
);

When(
  '{int} jobs are handed in at the owner',
  async function (this: CellTestContext, count: number) {
    await handInAtOwner(this, count);
  },
);

When(
  '{int} jobs are handed in at the owner and complete',
  async function (this: CellTestContext, count: number) {
    await handInAtOwner(this, count);
    const areOver = (): boolean =>
      this.jobs.every((id) => cellOf(this).storedProgress(id)?.outcome === 'completed');
    assert.ok(await eventually(areOver));
  },
);

When('a job is handed in at the owner and completes', async function (this: CellTestContext) {
  await handInAtOwner(this, 1);
  const isOver = (): boolean =>
    cellOf(this).storedProgress(firstJob(this))?.outcome === 'completed';
  assert.ok(await eventually(isOver));
});

When("an entry that doesn't own the cell is gone", async function (this: CellTestContext) {
  const { entries } = cellOf(this);
  const [gone] = entries.splice(entries.indexOf(nonOwnerEntry(this)), 1);
  await gone?.app.stop();
});

When('every entry has told of it, and the store is away', async function (this: CellTestContext) {
  const { entries } = cellOf(this);
  await Promise.all(entries.map((entry) => stateAt(entry, this)));
  entries.forEach(({ store }) => Object.assign(store, { fault: 'refuse' }));
});

Then('no other entry has asked the store about a job', function (this: CellTestContext) {
  entriesButOwner(this).forEach(({ id, store }) => {
    const calls = store.calls.filter(({ table }) => table === 'jobs');
    assert.deepEqual(calls, [], id);
  });
});

Then(
  /^each entry(?: that is left)? keeps links to the owner and to 2 others soon after$/,
  { timeout: 15_000 },
  async function (this: CellTestContext) {
    assert.ok(await areLinked(this));
  },
);

Then(
  "no more than 3 entries read the owner's row more than twice a second soon after",
  { timeout: 15_000 },
  async function (this: CellTestContext) {
    assert.ok(await areLinked(this));
    await sleep(1500);
    const others = entriesButOwner(this);
    const counts = (): number[] =>
      others.map(
        ({ store }) => store.calls.filter(({ table }) => table === OWNER_ROW_KEY.table).length,
      );
    const before = counts();
    await sleep(2000);
    const often = counts().filter((count, index) => count - (before[index] ?? 0) > 4);
    assert.ok(often.length <= 3, `${often.length} entries look out`);
  },
);

Then('one of the last two owns the cell soon after', async function (this: CellTestContext) {
  const strong = cellOf(this).entries.slice(-2);
  const isTaken = (): boolean => strong.includes(cellOf(this).owner() as Entry);
  assert.ok(await eventually(isTaken, 3000), describeSuccession(this));
});

Then(
  /^every entry says that it is (completed|running)$/,
  async function (this: CellTestContext, state) {
    const states = await Promise.all(cellOf(this).entries.map((entry) => stateAt(entry, this)));
    assert.deepEqual(new Set(states), new Set([state]));
  },
);

Then(
  'every entry says that {int} jobs wait',
  async function (this: CellTestContext, count: number) {
    const counts = await Promise.all(cellOf(this).entries.map(waitingAt));
    assert.deepEqual(new Set(counts), new Set([count]));
  },
);

Then(
  'every entry that is left says at once that {int} jobs wait',
  async function (this: CellTestContext, count: number) {
    const left = cellOf(this).entries.filter(({ store }) => store.fault === 'none');
    const startedAt = performance.now();
    const counts = await Promise.all(left.map(waitingAt));
    assert.deepEqual(new Set(counts), new Set([count]));
    assert.ok(performance.now() - startedAt < 1000);
  },
);

Then(/^the other entry owns the cell within 1.3 s$/, async function (this: CellTestContext) {
  const lost = ownerEntry(this);
  assert.ok(await eventually(() => cellOf(this).owner() !== lost, 1300));
});

Given(
  'a cell that starts with 4 entries, the last of which has more of a processor',
  async function (this: CellTestContext) {
    const cell = new TestCell();
    this.cell = cell;
    this.jobs = [];
    cell.configure();
    for (const processorShare of [1, 1, 1, 2]) await cell.addEntry({ processorShare });
    assert.ok(await eventually(() => cell.owner() !== undefined));
  },
);

Then('the last of them owns the cell', function (this: CellTestContext) {
  assert.equal(ownerEntry(this), cellOf(this).entries.at(-1));
});
