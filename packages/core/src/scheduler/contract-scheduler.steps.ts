import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { TestDomain, makeWorkers, shapeOf } from './domain.support.js';
import type { Decision } from './scheduler.js';

const SHAPES = [
  shapeOf(1, 1, 'worker'),
  shapeOf(1, 4, 'worker'),
  shapeOf(2, 4, 'rack'),
  shapeOf(3, 8, 'neighbouring-racks'),
  shapeOf(5, 3, 'failure-domain'),
  shapeOf(1, 8, 'worker'),
];
const KINDS = ['proof', 'render', 'preview', 'entry'];
const GUARANTEE_OF: Record<string, string> = { film: 'half', deeds: 'block' };
const RUNS = 500;

type Step =
  | { do: 'submit'; account: string; kind: string; shape: number }
  | { do: 'end' | 'cancel' | 'lose' | 'evictions' | 'unplace' | 'rejoin'; pick: number }
  | { do: 'claim' | 'release'; account: string }
  | { do: 'wait'; ms: number };

const account = fc.constantFrom('film', 'deeds', 'guests');
const submit = fc.record({
  do: fc.constant('submit' as const),
  account,
  kind: fc.constantFrom(...KINDS),
  shape: fc.nat(SHAPES.length - 1),
});
const pick = fc.nat(20);
const calm = [
  { arbitrary: submit, weight: 6 },
  { arbitrary: fc.record({ do: fc.constant('end' as const), pick }), weight: 3 },
  { arbitrary: fc.record({ do: fc.constant('evictions' as const), pick }), weight: 2 },
  {
    arbitrary: fc.record({ do: fc.constantFrom('claim' as const, 'release' as const), account }),
    weight: 2,
  },
  {
    arbitrary: fc.record({ do: fc.constant('wait' as const), ms: fc.nat(120_000) }),
    weight: 2,
  },
];
const stormy = [
  ...calm,
  {
    arbitrary: fc.record({
      do: fc.constantFrom(
        'cancel' as const,
        'lose' as const,
        'unplace' as const,
        'rejoin' as const,
      ),
      pick,
    }),
    weight: 2,
  },
];

/** Claims asked for and not released, by account: one copy each. */
type Claims = Map<string, string>;

function takeStep(domain: TestDomain, claims: Claims, step: Step): void {
  switch (step.do) {
    case 'submit':
      domain.submit(step.account, step.kind, SHAPES[step.shape]!);
      break;
    case 'wait':
      domain.advance(step.ms);
      break;
    case 'claim':
      if (claims.has(step.account) || step.account === 'guests') break;
      claims.set(step.account, domain.claim(step.account, GUARANTEE_OF[step.account]!));
      break;
    case 'release':
      if (!claims.has(step.account)) break;
      domain.release(claims.get(step.account)!);
      claims.delete(step.account);
      break;
    case 'evictions':
      domain.finishEvictions();
      break;
    default:
      disturb(domain, step);
  }
}

function nth<T>(items: Iterable<T>, index: number): T | undefined {
  const all = [...items];
  return all[index % Math.max(1, all.length)];
}

function disturb(domain: TestDomain, step: { do: string; pick: number }): void {
  const key = nth(domain.running.keys(), step.pick);
  const worker = nth(domain.workers.keys(), step.pick);
  if (step.do === 'end' && key !== undefined) domain.end(key, 'succeeded', false);
  if (step.do === 'cancel') domain.tell({ type: 'job-cancelled', key: `jobs/film/j${step.pick}` });
  if (step.do === 'lose' && worker !== undefined) domain.loseWorker(worker);
  if (step.do === 'rejoin') {
    const missing = makeWorkers(6).filter(({ id }) => !domain.workers.has(id));
    missing.slice(0, 1).forEach((one) => domain.addWorker(one));
  }
  if (step.do === 'unplace' && key !== undefined && worker !== undefined) {
    domain.running.delete(key);
    domain.evicting.delete(key);
    domain.tell({ type: 'job-unplaced', key, worker });
  }
}

function isOfFilm({ key }: Decision & { type: 'evict' }): boolean {
  return key.startsWith('jobs/film/');
}

interface DomainWorld {
  steps: fc.Arbitrary<Step[]>;
  domain: TestDomain;
  claim: string;
  job: string;
  keys: string[];
}

Given('domain runs of any jobs, claims, losses and cancellations', function (this: DomainWorld) {
  this.steps = fc.array(fc.oneof(...stormy), { maxLength: 80 });
});

Given('domain runs of any jobs and claims without losses', function (this: DomainWorld) {
  this.steps = fc.array(fc.oneof(...calm), { maxLength: 80 });
});

Given('domain runs in which film stays inside its guarantee', function (this: DomainWorld) {
  this.steps = fc.array(fc.oneof(...calm), { maxLength: 80 });
});

Then(
  'domain placements never share an accelerator or split a gang',
  { timeout: 60_000 },
  function (this: DomainWorld) {
    fc.assert(
      fc.property(this.steps, (steps) => {
        const domain = new TestDomain();
        const claims: Claims = new Map();
        // The domain checks every placement as it is made.
        steps.forEach((step) => takeStep(domain, claims, step));
        domain.finishEvictions();
      }),
      { numRuns: RUNS, interruptAfterTimeLimit: 20_000 },
    );
  },
);

Then(
  'domain claims are held as soon as their victims have left',
  { timeout: 60_000 },
  function (this: DomainWorld) {
    fc.assert(
      fc.property(this.steps, (steps) => {
        const domain = new TestDomain();
        const claims: Claims = new Map();
        steps.forEach((step) => takeStep(domain, claims, step));
        domain.finishEvictions();
        domain.finishEvictions();
        claims.forEach((key) => assert.ok(domain.held.has(key), `${key} is not held`));
      }),
      { numRuns: RUNS, interruptAfterTimeLimit: 20_000 },
    );
  },
);

Then('domain evictions never touch film', { timeout: 60_000 }, function (this: DomainWorld) {
  fc.assert(
    fc.property(this.steps, (steps) => {
      const domain = new TestDomain();
      const claims: Claims = new Map();
      let filmJob: string | undefined;
      steps.forEach((step) => {
        if ('account' in step && step.account === 'film') {
          if (step.do !== 'submit') return;
          if (filmJob !== undefined && isWaitingOrRunning(domain, filmJob)) return;
          filmJob = domain.submit('film', step.kind, SHAPES[1]!);
          return;
        }
        takeStep(domain, claims, step);
      });
      assert.deepEqual(domain.of('evict').filter(isOfFilm), []);
    }),
    { numRuns: RUNS, interruptAfterTimeLimit: 20_000 },
  );
});

function isWaitingOrRunning(domain: TestDomain, key: string): boolean {
  return domain.running.has(key) || !domain.of('place').some((placed) => placed.key === key);
}

Given('a domain of {int} workers', function (this: DomainWorld, workers: number) {
  this.domain = new TestDomain({ workers });
});

Given(
  'domain jobs of guests fill it with renders of {int} accelerators',
  function (this: DomainWorld, accelerators: number) {
    this.keys = [...this.domain.workers].map(() =>
      this.domain.submit('guests', 'render', shapeOf(1, accelerators, 'worker')),
    );
    assert.equal(this.domain.running.size, this.domain.workers.size);
  },
);

Given(
  "the domain's first render has run for {int} ms more than a checkpoint takes",
  function (this: DomainWorld, ms: number) {
    this.domain.advance(ms + this.domain.bundle.policy.checkpointLimitMs);
  },
);

When("the domain's film claims its half", function (this: DomainWorld) {
  this.claim = this.domain.claim('film', 'half');
});

When("the domain's deeds claims its block", function (this: DomainWorld) {
  this.claim = this.domain.claim('deeds', 'block');
});

Then('the domain evicts {int} job(s) for the claim', function (this: DomainWorld, count: number) {
  const evictions = this.domain.of('evict');
  assert.equal(evictions.length, count);
  evictions.forEach((one) => assert.equal(one.for, this.claim));
});

Then('the domain holds the claim once the victim has left', function (this: DomainWorld) {
  assert.ok(!this.domain.held.has(this.claim));
  this.domain.finishEvictions();
  assert.ok(this.domain.held.has(this.claim));
});

When(
  'the domain gets {int} {word}s of guests of {int} accelerator(s)',
  function (this: DomainWorld, count: number, kind: string, accelerators: number) {
    for (let i = 0; i < count; i += 1) {
      this.domain.submit('guests', kind, shapeOf(1, accelerators, 'worker'));
    }
  },
);

Given('a gang of 16 waits in the domain', function (this: DomainWorld) {
  this.job = this.domain.submit('deeds', 'render', shapeOf(2, 8, 'rack'));
  assert.ok(!this.domain.running.has(this.job));
});

When("the domain's last render ends", function (this: DomainWorld) {
  this.domain.end(this.keys.at(-1)!, 'succeeded', false);
});

Then(
  'the domain runs {int} proofs after {int} ms',
  function (this: DomainWorld, count: number, ms: number) {
    this.domain.advance(ms);
    this.domain.finishEvictions();
    const proofs = [...this.domain.running.values()].filter(({ job }) => job.spec.kind === 'proof');
    assert.equal(proofs.length, count);
  },
);

When(
  "previews of {int} ms keep coming while the domain's renders end",
  function (this: DomainWorld, declaredRunMs: number) {
    this.keys.forEach((key) => {
      this.domain.end(key, 'succeeded', false);
      for (let i = 0; i < 20; i += 1) {
        this.domain.submit('guests', 'preview', shapeOf(1, 1, 'worker'), { declaredRunMs });
      }
      this.domain.advance(1000);
    });
  },
);

Then('the domain runs the gang', function (this: DomainWorld) {
  assert.ok(this.domain.running.has(this.job));
});

When(
  'the domain gets a gang of {int} tasks of {int} accelerators in a rack',
  function (this: DomainWorld, tasks: number, accelerators: number) {
    this.job = this.domain.submit('guests', 'render', shapeOf(tasks, accelerators, 'rack'));
  },
);

Then('the domain refuses it as {word}', function (this: DomainWorld, kind: string) {
  const [refusal] = this.domain.of('refuse');
  assert.equal(refusal?.key, this.job);
  assert.equal(refusal.problem.kind, kind);
  assert.equal(refusal.problem.ran, 'not-run');
});

When('the domain loses {int} workers', function (this: DomainWorld, count: number) {
  [...this.domain.workers.keys()].slice(0, count).forEach((id) => this.domain.loseWorker(id));
  this.domain.advance(20_000);
});

Then('the domain says that {word} is broken', function (this: DomainWorld, guarantee: string) {
  assert.deepEqual(
    this.domain.of('guarantee-broken').map((one) => one.guarantee),
    [guarantee],
  );
});

When(
  /^(?:a|another) job of deeds is submitted within the domain's claim$/,
  function (this: DomainWorld) {
    const claim = this.claim.split('/')[2]!;
    this.job = this.domain.submit('deeds', 'render', shapeOf(2, 8, 'rack'), { claim });
  },
);

Then("the domain runs it on the claim's accelerators", function (this: DomainWorld) {
  const running = this.domain.running.get(this.job);
  assert.equal(running?.within, this.claim);
  const names = (members: { worker: string; accelerators: number[] }[]) =>
    members.flatMap((one) => one.accelerators.map((number) => `${one.worker}:${number}`)).sort();
  assert.deepEqual(names(running.members), names(this.domain.held.get(this.claim)!));
});

When(
  "every proof fails on the domain's {word} and succeeds elsewhere",
  function (this: DomainWorld, bad: string) {
    for (let i = 0; i < 60; i += 1) {
      this.domain.submit('guests', 'proof', shapeOf(1, 1, 'worker'));
      this.domain.advance(1000);
      [...this.domain.running].forEach(([key, { members }]) => {
        const failed = members.some(({ worker }) => worker === bad);
        if (failed) this.domain.end(key, 'failed', true, bad);
        else if (i % 3 === 0) this.domain.end(key, 'succeeded', false);
      });
    }
  },
);

Then('the domain quarantines {word} alone', function (this: DomainWorld, worker: string) {
  assert.deepEqual([...new Set(this.domain.of('quarantine').map((one) => one.worker))], [worker]);
});

When(
  "the domain's {word} is lost and comes back before its job's end is told",
  function (this: DomainWorld, id: string) {
    const worker = this.domain.workers.get(id)!;
    const [job] = [...this.domain.running.values()].filter(({ members }) =>
      members.some((member) => member.worker === id),
    );
    this.job = job!.job.key;
    this.domain.tell({ type: 'worker-left', worker: id, how: 'lost' });
    this.domain.tell({ type: 'worker-ready', worker });
  },
);

Then(
  'the domain counts {int} accelerators free before and after',
  function (this: DomainWorld, free: number) {
    assert.equal(this.domain.scheduler.summary(this.domain.now).free, free);
    this.domain.end(this.job, 'lost', false);
    assert.equal(this.domain.scheduler.summary(this.domain.now).free, free);
  },
);

When('the domain gets an entry of film without accelerators', function (this: DomainWorld) {
  this.job = this.domain.submit('film', 'entry', shapeOf(1, 0, 'worker'));
});

Then('the domain runs that entry', function (this: DomainWorld) {
  assert.ok(this.domain.running.has(this.job));
});

When(
  'a preview of guests was evicted twice in the domain while deeds had claimed nothing',
  function (this: DomainWorld) {
    this.job = this.domain.submitEvicted('guests', 'preview', shapeOf(1, 4, 'worker'), 2);
    assert.ok(this.domain.running.has(this.job));
  },
);

Then("the domain doesn't evict that preview again", function (this: DomainWorld) {
  assert.ok(this.domain.held.has(this.claim));
  assert.deepEqual(
    this.domain.of('evict').filter(({ key }) => key === this.job),
    [],
  );
});

When("the domain's claim is released", function (this: DomainWorld) {
  this.domain.release(this.claim);
});
