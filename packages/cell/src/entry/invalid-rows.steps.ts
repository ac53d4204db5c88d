import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { RowTables } from '@zincspan/stand-ins';
import { quietContext } from '@zincspan/core';
import { Packr } from 'msgpackr';
import { OwnerLink } from '../guard/owner-link.js';
import { CELL_TABLE, OWNER_ROW_KEY, packOwnerRow } from '../owner/owner-row.js';
import { cellOf, type CellTestContext } from '../owner/cell-test-context.support.js';
import { MemoryRowStore } from '../testing/memory-row-store.support.js';
import { eventually } from '../testing/test-cell.support.js';
import { LINK_KEY } from '../testing/test-worker.support.js';
import { entryRowKey } from './entry-row.js';

/** Deeper than a recursive decoder can follow. */
const NESTING_DEPTH = 100_000;

const PORT_OUT_OF_RANGE = '127.0.0.1:65536';

const packr = new Packr({ useRecords: false });

interface InvalidRowSteps extends CellTestContext {
  tables?: RowTables;
  store?: MemoryRowStore;
  ownerLink?: OwnerLink;
  /** Owners that the guard has found. */
  found: unknown[];
}

/** Arrays of one element in each other, in msgpack. */
function nestedRow(): Buffer {
  const arrayOfOne = 0x91;
  const nil = 0xc0;
  return Buffer.concat([Buffer.alloc(NESTING_DEPTH, arrayOfOne), Buffer.from([nil])]);
}

function invalidEntryRow(how: string, otherId: string): Buffer {
  if (how === 'is very deeply nested') return nestedRow();
  const row = {
    id: how === 'has the id of another entry' ? otherId : 'foreign',
    incarnation: 'foreign-incarnation',
    address: how === 'has a port out of range' ? PORT_OUT_OF_RANGE : '127.0.0.1:1',
    // Other failure domains are linked first.
    failureDomain: 'elsewhere',
    processorShare: how === 'has a number too large' ? Infinity : 1,
  };
  return packr.pack(row);
}

function invalidOwnerRow(how: string): Buffer {
  if (how === 'is very deeply nested') return nestedRow();
  const address = how === 'has a port out of range' ? PORT_OUT_OF_RANGE : '127.0.0.1:1';
  const holder = { id: 'foreign', incarnation: 'foreign-incarnation', address };
  return packr.pack({ term: how === 'has a number too large' ? 1e300 : 1, holder });
}

After(function (this: InvalidRowSteps) {
  this.ownerLink?.stop();
});

Given(
  /^another writer has left a row among those of the entries that (.+)$/,
  function (this: InvalidRowSteps, how: string) {
    const { tables, entries } = cellOf(this);
    const row = { ...entryRowKey('foreign'), value: invalidEntryRow(how, entries[0]?.id ?? '') };
    tables.transact({ expected: [], set: [row], remove: [] });
  },
);

When('an entry joins the cell', async function (this: InvalidRowSteps) {
  await cellOf(this).addEntry();
});

Given(
  /^a guard that has read a row of the owner that (.+)$/,
  async function (this: InvalidRowSteps, how: string) {
    const tables = new RowTables();
    const row = { ...OWNER_ROW_KEY, value: invalidOwnerRow(how) };
    tables.transact({ expected: [], set: [row], remove: [] });
    const store = new MemoryRowStore(tables);
    this.found = [];
    const info = ({ owner }: { owner?: unknown }, msg: string): void => {
      if (msg === 'cell owner found') this.found.push(owner);
    };
    const ctx = quietContext({
      id: 'worker-1',
      role: 'guard',
      log: { info, warn: () => {}, error: () => {} },
    });
    this.ownerLink = new OwnerLink({
      ctx,
      store,
      linkKey: LINK_KEY,
      handlers: {},
      status: () => ({}),
      onLinkUp: () => {},
    });
    Object.assign(this, { tables, store });
    this.ownerLink.start();
    const reads = (): number => store.calls.filter(({ table }) => table === CELL_TABLE).length;
    // The second read is sent once the first has been handled.
    assert.ok(await eventually(() => reads() > 1));
  },
);

When('an entry takes the cell', function (this: InvalidRowSteps) {
  const holder = { id: 'entry-1', incarnation: 'incarnation-1', address: '127.0.0.1:1' };
  const row = { ...OWNER_ROW_KEY, value: packOwnerRow({ term: 2, holder }) };
  this.tables?.transact({ expected: [], set: [row], remove: [] });
});

Then('the guard finds that entry', async function (this: InvalidRowSteps) {
  assert.ok(await eventually(() => this.found.includes('entry-1')));
});
