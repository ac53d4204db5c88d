import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ProblemError, type Problem } from '../error/problem.js';
import { SlotQueue, type SlotChange } from './slot-queue.js';

class SlotWorld {
  slots!: SlotQueue;

  now = 0;

  started: string[] = [];

  dropped = new Map<string, string>();
}

function note(world: SlotWorld, { start, drop }: SlotChange): void {
  world.started.push(...start);
  drop.forEach(({ id, problem }) => world.dropped.set(id, problem.kind));
}

function offer(
  world: SlotWorld,
  names: string,
  account: string,
  { urgent = false, leftMs = 5000 }: { urgent?: boolean; leftMs?: number } = {},
): void {
  names.split(' ').forEach((id) => {
    const req = { id, account, kind: 'k', urgent, deadlineAt: world.now + leftMs };
    note(world, world.slots.offer(req, world.now));
  });
}

function refusal(run: () => void): Problem {
  try {
    run();
  } catch (err) {
    assert.ok(err instanceof ProblemError);
    assert.equal(err.problem.ran, 'not-run');
    assert.ok(err.problem.retryAfterMs !== undefined);
    return err.problem;
  }
  return assert.fail('expected a refusal');
}

Given(
  'a slot queue of {int} slots and {int} places',
  function (this: SlotWorld, slots: number, bound: number) {
    Object.assign(this, { now: 0, started: [], dropped: new Map() });
    this.slots = new SlotQueue({ slots, bound });
  },
);

When(
  'the slot queue is offered {string} of account {string}',
  function (this: SlotWorld, names: string, account: string) {
    offer(this, names, account);
  },
);

When(
  'the slot queue is offered urgent {string} of account {string}',
  function (this: SlotWorld, names: string, account: string) {
    offer(this, names, account, { urgent: true });
  },
);

When(
  'the slot queue is offered {string} of account {string} with {int} ms left',
  function (this: SlotWorld, names: string, account: string, leftMs: number) {
    offer(this, names, account, { leftMs });
  },
);

When("the slot queue's {string} ends", function (this: SlotWorld, id: string) {
  note(this, this.slots.release(id, this.now));
});

When('{int} ms pass for the slot queue', function (this: SlotWorld, ms: number) {
  this.now += ms;
  note(this, this.slots.advance(this.now));
});

Then('the slot queue has started {string}', function (this: SlotWorld, names: string) {
  assert.equal(this.started.join(' '), names);
});

Then(
  'the slot queue has dropped {string} as {string}',
  function (this: SlotWorld, id: string, kind: string) {
    assert.equal(this.dropped.get(id), kind);
  },
);

Then(
  'the slot queue refuses {string} of account {string} as {string} with bound {int}',
  function (this: SlotWorld, id: string, account: string, kind: string, bound: number) {
    const problem = refusal(() => offer(this, id, account));
    assert.deepEqual([problem.kind, problem.facts?.bound], [kind, bound]);
  },
);

Then(
  'the slot queue refuses {string} of account {string} with {int} ms left as {string}',
  function (this: SlotWorld, id: string, account: string, leftMs: number, kind: string) {
    assert.equal(refusal(() => offer(this, id, account, { leftMs })).kind, kind);
  },
);
