import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { toProblem } from '@zincspan/core';
import { HttpTable } from './http-table.js';
import { SCRIPT_ACTIONS, ScriptedStore, type ScriptAction } from './scripted-store.support.js';

/** One write: the faults it met, how it ended, and whether its row was there once all had arrived. */
interface Trial {
  faults: string;
  end: string;
  rowExists: boolean;
}

interface TrialsWorld {
  trials: Trial[];
}

/** Writers at once. */
const CONCURRENT_TRIALS = 48;

async function runTrial(writes: ScriptAction[], statusQuery: ScriptAction): Promise<Trial> {
  const faults = `${writes.join()} status query ${statusQuery}`;
  const store = new ScriptedStore();
  Object.assign(store, { writes, statusQuery });
  const address = await store.start();
  const table = new HttpTable({ address, timeoutMs: 40, totalMs: 200, random: () => 0 });
  const end = await table.write([{ key: 'a', ifVersion: 0, value: 1 }]).then(
    ({ outcome }) => outcome,
    (err: unknown) => toProblem(err).ran,
  );
  store.applyHeldWrites();
  table.close();
  store.close();
  return { faults, end, rowExists: store.rows.get('a').version > 0 };
}

/** All ways to pick `length` actions in a row. */
function sequences(length: number): ScriptAction[][] {
  if (length === 0) return [[]];
  return sequences(length - 1).flatMap((head) => SCRIPT_ACTIONS.map((action) => [...head, action]));
}

When(
  'the table client writes under every three faults in a row and every fault of settling',
  { timeout: 60_000 },
  async function (this: TrialsWorld) {
    const scripts = SCRIPT_ACTIONS.flatMap((statusQuery) =>
      sequences(3).map((writes) => ({ writes, statusQuery })),
    );
    this.trials = [];
    const writer = async () => {
      for (let next = scripts.pop(); next !== undefined; next = scripts.pop()) {
        this.trials.push(await runTrial(next.writes, next.statusQuery));
      }
    };
    await Promise.all(Array.from({ length: CONCURRENT_TRIALS }, writer));
  },
);

Then('every write that ended as written is there', function (this: TrialsWorld) {
  const untrue = this.trials.filter(({ end, rowExists: there }) => end === 'written' && !there);
  assert.deepEqual(untrue, []);
});

Then('no write that ended as not-run is there, or arrives later', function (this: TrialsWorld) {
  const untrue = this.trials.filter(({ end, rowExists: there }) => end === 'not-run' && there);
  assert.deepEqual(untrue, []);
});

Then('each end was seen', function (this: TrialsWorld) {
  const ends = new Set(this.trials.map(({ end }) => end));
  assert.deepEqual([...ends].sort(), ['not-run', 'unknown', 'written']);
});
