import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Row } from '../store/row-store.js';
import { TEST_EVACUATION_SOURCE } from '../testing/test-evacuations.support.js';
import { Evacuations } from './evacuations.js';

interface EvacuationsSteps {
  evacuations: Evacuations;
}

function rowOf({ evacuations }: EvacuationsSteps, hall: string): Row {
  return { ...evacuations.expectedRow(hall), value: Buffer.alloc(0), version: 7 };
}

Given(
  'evacuations that are known for {int} ms',
  function (this: EvacuationsSteps, staleAfterMs: number) {
    this.evacuations = new Evacuations({ source: TEST_EVACUATION_SOURCE, staleAfterMs });
  },
);

When('a read sent at {int} ms tells of no hall', function (this: EvacuationsSteps, sentAt: number) {
  this.evacuations.noteRead([], sentAt);
});

When(
  'a read sent at {int} ms tells of hall {word}',
  function (this: EvacuationsSteps, sentAt: number, hall: string) {
    this.evacuations.noteRead([rowOf(this, hall)], sentAt);
  },
);

When(
  'a write sent at {int} ms that named hall {word} is done',
  function (this: EvacuationsSteps, sentAt: number, hall: string) {
    this.evacuations.noteConfirmed([hall], sentAt);
  },
);

When(
  'a write sent at {int} ms that named hall {word} meets its row',
  function (this: EvacuationsSteps, sentAt: number, hall: string) {
    this.evacuations.noteConflict([hall], [rowOf(this, hall)], sentAt);
  },
);

Then(
  /^(something|nothing) may be ordered in hall (\w+) at (\d+) ms$/,
  function (this: EvacuationsSteps, what: string, hall: string, now: string) {
    assert.equal(this.evacuations.mayOrder(hall, Number(now)), what === 'something');
  },
);

Then(
  /^hall (\w+) (is|isn't) known as evacuated$/,
  function (this: EvacuationsSteps, hall: string, verdict: string) {
    assert.equal(this.evacuations.isEvacuated(hall), verdict === 'is');
  },
);
