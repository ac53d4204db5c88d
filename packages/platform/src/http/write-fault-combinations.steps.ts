import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { toProblem } from '@zincspan/core';
import { HttpTable } from './http-table.js';
import { SCRIPT_ACTIONS, ScriptedStore, type ScriptAction } from './scripted-store.support.js';

/** One write: its faults, the reported result, and whether the row exists after all held writes were applied. */
interface Trial {
  faults: string;
  result: string;
  rowExists: boolean;
}

interface TrialsWorld {
  trials: Trial[];
}

const CONCURRENT_TRIALS = 48;

async function runTrial(writes: ScriptAction[], statusQuery: ScriptAction): Promise<Trial> {
  const faults = `${writes.join()} status query ${statusQuery}`;
  const store = new ScriptedStore();
  Object.assign(store, { writes, statusQuery });
  const address = await store.start();
  const table = new HttpTable({ address, timeoutMs: 40, totalMs: 200, random: () => 0 });
  const result = await table.write([{ key: 'a', ifVersion: 0, value: 1 }]).then(
    ({ outcome }) => outcome,
    (err: unknown) => toProblem(err).ran,
  );
  store.applyHeldWrites();
  table.close();
  store.close();
  return { faults, result, rowExists: store.rows.get('a').version > 0 };
}

/** All sequences of `length` actions. */
function sequences(length: number): ScriptAction[][] {
  if (length === 0) return [[]];
  return sequences(length - 1).flatMap((head) => SCRIPT_ACTIONS.map((action) => [...head, action]));
}

When(
  'the table client writes under every sequence of three faults and every fault of the outcome query',
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

Then('every write reported as written took effect', function (this: TrialsWorld) {
  const wrong = this.trials.filter(({ result, rowExists }) => result === 'written' && !rowExists);
  assert.deepEqual(wrong, []);
});

Then('no write reported as not-run took effect, then or later', function (this: TrialsWorld) {
  const wrong = this.trials.filter(({ result, rowExists }) => result === 'not-run' && rowExists);
  assert.deepEqual(wrong, []);
});

Then('each result occurred', function (this: TrialsWorld) {
  const results = new Set(this.trials.map(({ result }) => result));
  assert.deepEqual([...results].sort(), ['not-run', 'unknown', 'written']);
});
