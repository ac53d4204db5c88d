import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  CountingMetrics,
  LinkError,
  ManualClock,
  ProblemError,
  problem,
  type Method,
  type MethodReq,
  type MethodRes,
  type Peer,
} from '@zincspan/core';
import { OwnerContact } from './owner-contact.js';

type Answer = (method: Method, req: unknown) => unknown;

interface ContactWorld {
  clock: ManualClock;
  contact: OwnerContact;
  entries: Map<string, Answer>;
  calls: { id: string; req: unknown }[];
}

const silent: Answer = () => {
  throw new LinkError('lost', 'The answer was lost.');
};

async function call<M extends Method>(
  { entries, calls }: ContactWorld,
  { id, method, req }: { id: string; method: M; req: MethodReq<M> },
): Promise<MethodRes<M>> {
  await Promise.resolve();
  calls.push({ id, req });
  return (entries.get(id) ?? silent)(method, req) as MethodRes<M>;
}

function order(world: ContactWorld, id: string, term: number): void {
  const failureDomain = 'hall';
  const process = { id, role: 'entry', incarnation: `${id}-life-1`, failureDomain } as const;
  const peer = { process } as Peer;
  world.contact.noteOwner(peer, { failureDomain, term, incarnation: 'guard-life-1' });
}

function setUp(world: ContactWorld, owner: Answer): void {
  const clock = new ManualClock({ start: 1_000_000 });
  const entries = new Map<string, Answer>([['entry-1', owner]]);
  Object.assign(world, { clock, entries, calls: [] });
  const contact = new OwnerContact({
    clock,
    metrics: new CountingMetrics(),
    links: {
      linked: () => [...entries.keys()],
      call: async (id, method, req) => call(world, { id, method, req }),
    },
    ownerSilenceMs: 20_000,
    askMs: 1000,
  });
  Object.assign(world, { contact });
  order(world, 'entry-1', 1);
}

function addEntry({ entries }: ContactWorld, answer: Answer): void {
  entries.set(`entry-${entries.size + 1}`, answer);
}

Given('a guard whose owner answers', function (this: ContactWorld) {
  setUp(this, () => ({}));
});

Given('a guard whose owner is silent', function (this: ContactWorld) {
  setUp(this, silent);
});

Given('a guard whose owner says that it no longer is', function (this: ContactWorld) {
  setUp(this, (method) => {
    if (method === 'owner.reachable') return { reachable: false };
    const remedy = 'Tell the holder.';
    throw new ProblemError(problem('not-owner', { detail: 'Not the owner.', remedy }));
  });
});

Given(
  /^another entry says that the guard's owner is (reachable|unreachable)$/,
  function (this: ContactWorld, how: string) {
    addEntry(this, () => ({ reachable: how === 'reachable' }));
  },
);

Given('another entry answers the guard nothing', function (this: ContactWorld) {
  addEntry(this, silent);
});

Given("another entry becomes the guard's owner when it is asked", function (this: ContactWorld) {
  addEntry(this, (method) => {
    if (method === 'task.usage') return {};
    order(this, 'entry-2', 2);
    return { reachable: true };
  });
});

Given(
  "the guard's process is paused for {int} ms while its owner answers",
  function (this: ContactWorld, ms: number) {
    this.entries.set('entry-1', () => {
      this.clock.advance(ms);
      return {};
    });
  },
);

When('the guard asks whether its tasks may go on', async function (this: ContactWorld) {
  assert.equal(await this.contact.mayGoOn(), true);
});

When('{int} ms pass for the guard', function (this: ContactWorld, ms: number) {
  this.clock.advance(ms);
});

Then(/^the guard's tasks may (go on|not go on)$/, async function (this: ContactWorld, how: string) {
  assert.equal(await this.contact.mayGoOn(), how === 'go on');
});

Then('the guard has asked its owner {int} times', function (this: ContactWorld, times: number) {
  assert.equal(this.calls.filter(({ id }) => id === 'entry-1').length, times);
});

Then('the guard has asked after a successor alone', function (this: ContactWorld) {
  const asked = this.calls.filter(({ req }) => 'term' in (req as object));
  assert.equal(asked.length, 2);
  asked.forEach(({ req }) => assert.deepEqual(req, { failureDomain: 'hall', term: 1 }));
});
