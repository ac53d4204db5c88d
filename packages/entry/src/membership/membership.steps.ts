import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, ProblemError, type Announcement } from '@zincspan/core';
import { announcementOf, testContext } from '../testing/entry-world.support.js';
import { FakePeer } from '../testing/fake-peer.support.js';
import { UpstreamDirectory } from './upstream-directory.js';

interface DirectoryWorld {
  clock: ManualClock;
  directory: UpstreamDirectory;
  older: FakePeer;
  newer: FakePeer | undefined;
  told: string[];
  refused: string | undefined;
}

function announce(
  world: DirectoryWorld,
  peer: FakePeer,
  { id, ...more }: Partial<Announcement> & { id: string },
): void {
  try {
    world.directory.announce({ ...announcementOf(id, peer), ...more }, peer);
  } catch (err) {
    assert.ok(err instanceof ProblemError);
    Object.assign(world, { refused: err.problem.kind });
  }
}

Given('an upstream directory', function (this: DirectoryWorld) {
  const clock = new ManualClock();
  const directory = new UpstreamDirectory({ ctx: { ...testContext(), clock } });
  const told: string[] = [];
  directory.onChange(({ type }) => type !== 'linked' && told.push(type));
  Object.assign(this, { clock, directory, told });
});

When(
  /^guard "([^"]*)" announces "([^"]*)" (ready|draining|withdrawn) with sequence (\d+)$/,
  function (
    this: DirectoryWorld,
    guard: string,
    id: string,
    state: Announcement['state'],
    sequence: string,
  ) {
    this.older ??= new FakePeer({ id: guard });
    announce(this, this.newer ?? this.older, { id, state, sequence: Number(sequence) });
  },
);

When(
  /^guard "([^"]*)" restarts and announces "([^"]*)" (ready|draining) with sequence (\d+)$/,
  function (
    this: DirectoryWorld,
    guard: string,
    id: string,
    state: Announcement['state'],
    sequence: string,
  ) {
    this.newer = new FakePeer({ id: guard, incarnation: `${guard}-life-2` });
    this.directory.linkUp(this.newer);
    announce(this, this.newer, { id, state, sequence: Number(sequence) });
  },
);

When(
  'the older guard {string} announces {string} ready with sequence {int}',
  function (this: DirectoryWorld, _guard: string, id: string, sequence: number) {
    announce(this, this.older, { id, sequence });
  },
);

When('the older guard {string} links again', function (this: DirectoryWorld, _guard: string) {
  const { id, incarnation } = this.older.process;
  this.directory.linkUp(new FakePeer({ id, incarnation }));
});

When(
  'guard {string} announces {string} in the name of {string}',
  function (this: DirectoryWorld, guard: string, id: string, other: string) {
    announce(this, new FakePeer({ id: guard }), { id, guard: other });
  },
);

When(
  'another guard {string} announces {string}',
  function (this: DirectoryWorld, guard: string, id: string) {
    announce(this, new FakePeer({ id: guard }), { id });
  },
);

When("the directory's link to {string} is lost", function (this: DirectoryWorld, _guard: string) {
  this.older.lose();
});

When(
  'the directory looks for silence after {int} s',
  function (this: DirectoryWorld, seconds: number) {
    this.clock.advance(seconds * 1000);
    this.directory.expire();
  },
);

Then("the directory's {string} is draining", function (this: DirectoryWorld, id: string) {
  assert.equal(this.directory.get(id)?.state, 'draining');
});

Then('the announcement is refused with {string}', function (this: DirectoryWorld, kind: string) {
  assert.equal(this.refused, kind);
});

Then(
  "the directory's link to {string} is the newer guard's",
  function (this: DirectoryWorld, guard: string) {
    assert.equal(this.directory.guardPeer(guard), this.newer);
  },
);

Then('the directory lists {string}', function (this: DirectoryWorld, id: string) {
  assert.ok(this.directory.get(id));
});

Then('the directory lists nothing', function (this: DirectoryWorld) {
  assert.deepEqual(this.directory.all(), []);
});

Then('the directory has no link to {string}', function (this: DirectoryWorld, guard: string) {
  assert.equal(this.directory.guardPeer(guard), undefined);
});

Then('the directory has no runner for {string}', function (this: DirectoryWorld, kind: string) {
  assert.deepEqual(this.directory.runners(kind), []);
});

Then('the directory told {string}', function (this: DirectoryWorld, types: string) {
  assert.equal(this.told.join(', '), types);
});

Then(
  "the directory's {string} is spoken for by {string}",
  function (this: DirectoryWorld, id: string, guard: string) {
    assert.equal(this.directory.get(id)?.guard, guard);
  },
);
