import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { RequestResult } from '../message/message.js';
import { RequestLedger, requestIdOf } from './request-ledger.js';

class LedgerWorld {
  ledger!: RequestLedger;

  now = 0;
}

const LOAD = { inUse: 0, queued: 0, slots: 1 };

function answer(bytes = 1): RequestResult {
  const body = new Uint8Array(bytes);
  return {
    ...{ outcome: 'answered', status: 200, contentType: '', body, length: bytes, serviceMs: 1 },
    load: LOAD,
  };
}

function idOf(sequence: number, incarnation = 'entry-a'): string {
  return requestIdOf({ incarnation, sequence });
}

function newLedger(entries: number): RequestLedger {
  return new RequestLedger({ entries, bytes: 2300, ageMs: 1000, series: 3 });
}

Given('a request ledger of {int} entries', function (this: LedgerWorld, entries: number) {
  this.now = 0;
  this.ledger = newLedger(entries);
});

When(
  'the ledger records {int} requests and their results',
  function (this: LedgerWorld, count: number) {
    for (let sequence = 1; sequence <= count; sequence += 1) {
      this.ledger.record(idOf(sequence), this.now);
      this.ledger.end(idOf(sequence), answer(), this.now);
    }
  },
);

When(
  'the ledger records a request {int} that runs on',
  function (this: LedgerWorld, sequence: number) {
    assert.equal(this.ledger.record(idOf(sequence), this.now).state, 'recorded');
  },
);

When(
  'the ledger records results of {int} and {int} bytes',
  function (this: LedgerWorld, first: number, second: number) {
    [first, second].forEach((bytes, index) => {
      this.ledger.record(idOf(index + 1), this.now);
      this.ledger.end(idOf(index + 1), answer(bytes + 200), this.now);
    });
  },
);

When('the ledger is asked about request {int}', function (this: LedgerWorld, sequence: number) {
  this.ledger.settle(idOf(sequence), this.now);
});

When('{int} ms pass for the ledger', function (this: LedgerWorld, ms: number) {
  this.now += ms;
});

When(
  "the ledger has forgotten more entries' ids than it keeps series",
  function (this: LedgerWorld) {
    ['entry-a', 'entry-b', 'entry-c', 'entry-d', 'entry-e'].forEach((entry) => {
      this.ledger.record(idOf(1, entry), this.now);
      this.ledger.end(idOf(1, entry), answer(), this.now);
      this.now += 1001;
    });
  },
);

Then(
  'the ledger settles request {int} as {string}',
  function (this: LedgerWorld, sequence: number, state: string) {
    assert.equal(this.ledger.settle(idOf(sequence), this.now).state, state);
  },
);

Then(
  'the ledger settles an id of the first entry as {string}',
  function (this: LedgerWorld, state: string) {
    assert.equal(this.ledger.settle(idOf(1), this.now).state, state);
  },
);

Then(
  'the ledger refuses request {int} as {string}',
  function (this: LedgerWorld, sequence: number, state: string) {
    assert.equal(this.ledger.record(idOf(sequence), this.now).state, state);
  },
);

Then('no run of the ledger calls a seen id unseen, or records one twice', function () {
  const action = fc.constantFrom('record', 'end', 'settle', 'wait');
  const step = fc.tuple(action, fc.nat(30), fc.constantFrom('a', 'b', 'c', 'd', 'e'));
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (run) => {
      const ledger = newLedger(8);
      const seen = new Set<string>();
      const barred = new Set<string>();
      let now = 0;
      run.forEach(([what, sequence, entry]) => {
        const id = idOf(sequence, entry);
        if (what === 'wait') now += 300;
        if (what === 'end') ledger.end(id, answer(), now);
        if (what === 'settle' && ledger.settle(id, now).state === 'never-seen') {
          assert.ok(!seen.has(id), `${id} was seen`);
          barred.add(id);
        }
        if (what === 'record' && ledger.record(id, now).state === 'recorded') {
          assert.ok(!seen.has(id) && !barred.has(id), `${id} recorded again`);
          seen.add(id);
        }
      });
    }),
    { numRuns: 2000 },
  );
});
