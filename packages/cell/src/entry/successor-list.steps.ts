import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Clock } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { SuccessorList } from './successor-list.js';

interface SuccessorListWorld {
  list: SuccessorList;
  now: number;
  linkScans: number;
}

function linkTo(id: string, status: object): Link {
  return { process: { id }, status } as unknown as Link;
}

Given(
  'an owner linked to entries of {float}, {float} and {float} cores and {int} guards',
  function (
    this: SuccessorListWorld,
    first: number,
    second: number,
    third: number,
    guards: number,
  ) {
    const entries = [first, second, third].map((processorShare) =>
      linkTo(`entry of ${processorShare}`, { processorShare }),
    );
    const others = Array.from({ length: guards }, (_, index) => linkTo(`guard-${index}`, {}));
    const links = [...others, ...entries];
    this.now = 0;
    this.linkScans = 0;
    const clock: Pick<Clock, 'now'> = { now: () => this.now };
    this.list = new SuccessorList({
      clock: clock as Clock,
      links: () => {
        this.linkScans += 1;
        return links;
      },
    });
  },
);

When(
  '{int} links ask for its successors within a heartbeat, three heartbeats long',
  function (this: SuccessorListWorld, asks: number) {
    for (let beat = 0; beat < 3; beat++) {
      for (let ask = 0; ask < asks; ask++) {
        this.now = (beat + ask / asks) * LINK_HEARTBEAT.everyMs;
        this.list.current();
      }
    }
  },
);

Then(
  'its successors are the entries of {float}, {float} and {float} cores',
  function (this: SuccessorListWorld, first: number, second: number, third: number) {
    assert.deepEqual(
      this.list.current(),
      [first, second, third].map((cores) => `entry of ${cores}`),
    );
  },
);

Then('its links were scanned {int} times', function (this: SuccessorListWorld, times: number) {
  assert.equal(this.linkScans, times);
});
