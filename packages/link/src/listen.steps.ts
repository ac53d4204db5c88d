import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ProblemError } from '@zincspan/core';
import { listenOn } from './listen.js';

interface ListenWorld {
  listener: Server;
  address: string;
  refusal: unknown;
}

After({ tags: '@listen' }, function (this: ListenWorld) {
  this.listener.close();
});

Given('a listener on a free loopback address', async function (this: ListenWorld) {
  this.listener = createServer();
  this.address = await listenOn(this.listener, '127.0.0.1:0');
});

When('another listener is started on the same address', async function (this: ListenWorld) {
  this.refusal = await listenOn(createServer(), this.address).catch((err: unknown) => err);
});

Then('the second listener is refused with the address and a remedy', function (this: ListenWorld) {
  assert.ok(this.refusal instanceof ProblemError, String(this.refusal));
  const { detail, remedy } = this.refusal.problem;
  assert.ok(detail.includes(this.address), detail);
  assert.match(remedy, /settings/);
});
