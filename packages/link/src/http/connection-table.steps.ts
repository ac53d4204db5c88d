import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ConnectionTable } from './connection-table.js';

interface TableWorld {
  table: ConnectionTable<string>;
}

function addConnection(table: ConnectionTable<string>, connection: string, bytes: number): void {
  table.add(connection);
  table.change(connection, bytes);
}

Given(
  'a server that may have {int} connections and {int} bytes',
  function (this: TableWorld, maxConnections: number, maxMemoryBytes: number) {
    this.table = new ConnectionTable({ maxConnections, maxMemoryBytes });
  },
);

When(
  'connection {word} takes {int} bytes and connection {word} takes {int} bytes',
  function (this: TableWorld, a: string, bytesA: number, b: string, bytesB: number) {
    addConnection(this.table, a, bytesA);
    addConnection(this.table, b, bytesB);
  },
);

When('connections a, b and c take {int} bytes each', function (this: TableWorld, bytes: number) {
  ['a', 'b', 'c'].forEach((connection) => addConnection(this.table, connection, bytes));
});

When('connection {word} is active', function (this: TableWorld, connection: string) {
  this.table.touch(connection);
});

When(
  'connection {word} takes {int} byte(s) more',
  function (this: TableWorld, connection: string, bytes: number) {
    this.table.change(connection, bytes);
  },
);

When(
  'connection {word} is closed, and then takes {int} bytes more',
  function (this: TableWorld, connection: string, bytes: number) {
    this.table.remove(connection);
    this.table.change(connection, bytes);
    this.table.touch(connection);
  },
);

Then('no connection is to be closed', function (this: TableWorld) {
  assert.equal(this.table.findExcess(), undefined);
});

Then(
  /^connection (\S+) is to be closed for the limit of (connections|memory)$/,
  function (this: TableWorld, connection: string, limit: string) {
    assert.deepEqual(this.table.findExcess(), { connection, limit });
  },
);
