import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Row } from '../store/row-store.js';
import { TEST_EVACUATION_SOURCE } from '../testing/test-evacuations.support.js';
import { Evacuations } from './evacuations.js';

interface EvacuationsSteps {
  evacuations: Evacuations;
}

function rowOf({ evacuations }: EvacuationsSteps, hall: string): Row {
  return { ...evacuations.expectedAbsentRow(hall), value: Buffer.alloc(0), version: 7 };
}

Given(
  'evacuation state that is valid for {int} ms',
  function (this: EvacuationsSteps, staleAfterMs: number) {
    this.evacuations = new Evacuations({ source: TEST_EVACUATION_SOURCE, staleAfterMs });
  },
);

When(
  'a read sent at {int} ms finds no evacuated hall',
  function (this: EvacuationsSteps, sentAt: number) {
    this.evacuations.applyRead([], sentAt);
  },
);

When(
  'a read sent at {int} ms finds that hall {word} is evacuated',
  function (this: EvacuationsSteps, sentAt: number, hall: string) {
    this.evacuations.applyRead([rowOf(this, hall)], sentAt);
  },
);

When(
  'a write sent at {int} ms that expects hall {word} to be open succeeds',
  function (this: EvacuationsSteps, sentAt: number, hall: string) {
    this.evacuations.applyConfirmedWrite([hall], sentAt);
  },
);

When(
  'a write sent at {int} ms that expects hall {word} to be open finds it evacuated',
  function (this: EvacuationsSteps, sentAt: number, hall: string) {
    this.evacuations.applyConflict([hall], [rowOf(this, hall)], sentAt);
  },
);

Then(
  /^a start (may|may not) be ordered in hall (\w+) at (\d+) ms$/,
  function (this: EvacuationsSteps, verdict: string, hall: string, now: string) {
    assert.equal(this.evacuations.mayOrderStart(hall, Number(now)), verdict === 'may');
  },
);

Then(
  /^hall (\w+) (is|isn't) known to be evacuated$/,
  function (this: EvacuationsSteps, hall: string, verdict: string) {
    assert.equal(this.evacuations.isEvacuated(hall), verdict === 'is');
  },
);
