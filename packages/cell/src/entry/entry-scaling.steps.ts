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

/** Links that each entry keeps besides the one to the owner. */
const NEIGHBOUR_LINKS = 2;

/** Whether each entry has a list from the owner on which the last two entries that joined are the first successors. */
function areTopSuccessors(world: CellTestContext): boolean {
  const owner = ownerEntry(world);
  const strong = cellOf(world).entries.slice(-2);
  const told = cellOf(world).logged('rank among successors changed');
  return nonOwners(world).every((entry) => {
    const last = told.findLast(({ by }) => by === entry.id);
    if (last?.toldBy !== owner.id) return false;
    const rank = typeof last.rank === 'number' ? last.rank : Infinity;
    return strong.includes(entry) === rank < strong.length;
  });
}

/** The ranks that the entries logged, and which entry took over the cell: the message of a failed assertion. */
function describeSuccession(world: CellTestContext): string {
  const cell = cellOf(world);
  const ranks = cell
    .logged('rank among successors changed')
    .map(({ at, by, rank, toldBy }) => JSON.stringify({ at, by, rank, toldBy }));
  const taken = cell.logged('ownership taken').map(({ at, by }) => JSON.stringify({ at, by }));
  return ['ranks', ...ranks, 'taken', ...taken].join('\n');
}

function nonOwners(world: CellTestContext): Entry[] {
  const owner = ownerEntry(world);
  return cellOf(world).entries.filter((entry) => entry !== owner);
}

/**
 * Time within which each entry knows the successors, in ms: one heartbeat reports an entry to the owner, the next may carry a list
 * that is one heartbeat old, a third carries the new one, and entries that aren't on it check once a second.
 */
const SUCCESSION_SETTLED_MS = 4000;

/** Ids of the entries to which this one has dialled a live link. */
function linkedEntries({ app }: Entry): string[] {
  return app.peerLinks.map(({ process }) => process.id);
}

async function areLinked(world: CellTestContext): Promise<boolean> {
  return eventually(() => {
    const owner = cellOf(world).owner();
    return cellOf(world).entries.every((entry) => {
      const links = linkedEntries(entry);
      const others = links.filter((id) => id !== owner?.id).length;
      return others === NEIGHBOUR_LINKS && (entry === owner || links.includes(owner?.id ?? ''));
    });
  });
}

async function stateAt(entry: Entry, world: CellTestContext): Promise<string> {
  const result = await entry.app.jobApi.state(jobCall(firstJob(world)));
  return result.outcome === 'state' ? result.state : result.outcome;
}

async function waitingAt(entry: Entry): Promise<number | string> {
  const result = await entry.app.jobApi.waiting({ ...jobCall(''), path: TEST_PATH_PREFIX });
  return result.outcome === 'waiting' ? result.count : result.outcome;
}

async function submitAtOwner(world: CellTestContext, count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    await submitJob(world, { entry: ownerEntry(world), spec: { workMs: 50 } });
  }
}

Given(
  'a cell of 5 entries, the last two of which have more CPU cores, and 1 worker',
  async function (this: CellTestContext) {
    const cell = new TestCell();
    this.cell = cell;
    this.jobs = [];
    await cell.start(3, 1);
    await cell.addEntry({ processorShare: 2 });
    await cell.addEntry({ processorShare: 2 });
    assert.ok(await areLinked(this));
    assert.ok(
      await eventually(() => areTopSuccessors(this), SUCCESSION_SETTLED_MS),
      describeSuccession(this),
    );
  },
);

When(
  '{int} jobs are submitted at the owner',
  async function (this: CellTestContext, count: number) {
    await submitAtOwner(this, count);
  },
);

When(
  '{int} jobs are submitted at the owner and complete',
  async function (this: CellTestContext, count: number) {
    await submitAtOwner(this, count);
    const areOver = (): boolean =>
      this.jobs.every((id) => cellOf(this).storedProgress(id)?.outcome === 'completed');
    assert.ok(await eventually(areOver));
  },
);

When('a job is submitted at the owner and completes', async function (this: CellTestContext) {
  await submitAtOwner(this, 1);
  const isOver = (): boolean =>
    cellOf(this).storedProgress(firstJob(this))?.outcome === 'completed';
  assert.ok(await eventually(isOver));
});

When("an entry that doesn't own the cell is stopped", async function (this: CellTestContext) {
  const { entries } = cellOf(this);
  const [stopped] = entries.splice(entries.indexOf(nonOwnerEntry(this)), 1);
  await stopped?.app.stop();
});

When(
  'every entry has reported its state, and the store becomes unavailable',
  async function (this: CellTestContext) {
    const { entries } = cellOf(this);
    await Promise.all(entries.map((entry) => stateAt(entry, this)));
    entries.forEach(({ store }) => Object.assign(store, { fault: 'refuse' }));
  },
);

Then('no other entry has called the store about a job', function (this: CellTestContext) {
  nonOwners(this).forEach(({ id, store }) => {
    const calls = store.calls.filter(({ table }) => table === 'jobs');
    assert.deepEqual(calls, [], id);
  });
});

Then(
  /^each (?:remaining )?entry keeps links to the owner and to 2 others soon after$/,
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
    const others = nonOwners(this);
    const counts = (): number[] =>
      others.map(
        ({ store }) => store.calls.filter(({ table }) => table === OWNER_ROW_KEY.table).length,
      );
    const before = counts();
    await sleep(2000);
    const often = counts().filter((count, index) => count - (before[index] ?? 0) > 4);
    assert.ok(often.length <= 3, `${often.length} entries read it more often`);
  },
);

Then('one of the last two owns the cell soon after', async function (this: CellTestContext) {
  const strong = cellOf(this).entries.slice(-2);
  const isTaken = (): boolean => strong.includes(cellOf(this).owner() as Entry);
  assert.ok(await eventually(isTaken, 3000), describeSuccession(this));
});

Then(
  /^every entry reports that it is (completed|running)$/,
  async function (this: CellTestContext, state) {
    const states = await Promise.all(cellOf(this).entries.map((entry) => stateAt(entry, this)));
    assert.deepEqual(new Set(states), new Set([state]));
  },
);

Then(
  'every entry reports that {int} jobs wait',
  async function (this: CellTestContext, count: number) {
    const counts = await Promise.all(cellOf(this).entries.map(waitingAt));
    assert.deepEqual(new Set(counts), new Set([count]));
  },
);

Then(
  'every remaining entry reports at once that {int} jobs wait',
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
  'a cell that starts with 4 entries, the last of which has more CPU cores',
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
