import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { RowWrite } from '@zincspan/core';
import { RowStore, type WriteOutcome } from './row-store.js';

interface RowStoreWorld {
  rows: RowStore;
  result: WriteOutcome;
}

/** Parses `key@ifVersion=value` items, separated by spaces. */
function parseWrites(text: string): RowWrite[] {
  return text.split(' ').map((part) => {
    const [, key, ifVersion, value] = /^(.+)@(\d+)=(.+)$/.exec(part)!;
    return { key: key!, ifVersion: Number(ifVersion), value: JSON.parse(value!) };
  });
}

Given('a row store', function (this: RowStoreWorld) {
  this.rows = new RowStore();
});

When(
  'the row store is written {string} with {string}',
  function (this: RowStoreWorld, writeId: string, writes: string) {
    this.result = this.rows.write(writeId, parseWrites(writes));
  },
);

When(
  'the row store is queried for the outcome of {string}',
  function (this: RowStoreWorld, writeId: string) {
    this.result = this.rows.resolveOutcome(writeId);
  },
);

Then('the row store returns {string}', function (this: RowStoreWorld, outcome: string) {
  assert.equal(this.result.outcome, outcome);
});

Then('the row store holds {string}', function (this: RowStoreWorld, keys: string) {
  const storedKeys = this.rows.scan('').map(({ key }) => key);
  assert.equal(storedKeys.join(','), keys);
});

Then(
  'the row store has {string} at version {int}',
  function (this: RowStoreWorld, key: string, version: number) {
    assert.equal(this.rows.get(key).version, version);
  },
);

Then(
  'a scan of the row store for {string} after {string} finds {string} of {int}',
  function (this: RowStoreWorld, prefix: string, after: string, keys: string, limit: number) {
    const found = this.rows.scan(prefix, { after, limit }).map(({ key }) => key);
    assert.equal(found.join(','), keys);
  },
);
