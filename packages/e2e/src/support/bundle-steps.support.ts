/** Steps about bundles: proposals by name, rollouts by operators, versions in force everywhere. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { VersionFalls } from '../audit/version-falls.js';
import { versionsAt } from '../audit/entry-view.js';
import type { BundleText } from '../deployment/rollout.js';
import type { ClientRun, OperatorShell } from '../deployment/operator-shell.js';
import { setFaults } from '../audit/stand-in-calls.js';
import type { E2eWorld } from './e2e-world.support.js';
import { until } from './until.js';

const runs = new WeakMap<E2eWorld, Map<string, ClientRun>>();

let proposals = 0;

/** A value that no other proposal has: one that changes nothing is refused. */
function nextBudget(): number {
  proposals += 1;
  return 0.1 + proposals / 1000;
}

function shell({ deployment }: E2eWorld, name: string): OperatorShell {
  const found = deployment.operators.find((operator) => operator.name === name);
  assert.ok(found, `No operator "${name}".`);
  return found;
}

function proposalFile({ deployment }: E2eWorld, name: string): string {
  return join(deployment.directory, `${name}.proposal.json`);
}

/** Proposes a bundle and has both operators sign it. */
async function propose(world: E2eWorld, name: string, change: Partial<BundleText>): Promise<void> {
  const file = join(world.deployment.directory, `${name}.jsonc`);
  const proposal = proposalFile(world, name);
  writeFileSync(file, JSON.stringify(world.bundle(change)));
  const [first, second] = world.deployment.operators as [OperatorShell, OperatorShell];
  // Entries don't ask a store for a second or so after it failed; nothing has happened then.
  await until(`proposal ${name}`, () =>
    first.must('bundle', 'propose', file, '--out', proposal, '--note', name),
  );
  await first.must('bundle', 'sign', proposal, '--offline');
  await second.must('bundle', 'sign', proposal, '--offline');
}

When('proposal {string} is signed', async function (this: E2eWorld, name: string) {
  await propose(this, name, { policy: { retryBudget: nextBudget() } });
});

When('{word} rolls {string} out', async function (this: E2eWorld, operator: string, name: string) {
  const run = await shell(this, operator).run('bundle', 'rollout', proposalFile(this, name));
  runs.set(this, new Map([...(runs.get(this) ?? []), [name, run]]));
});

When(
  '{word} rolls {string} out while {word} rolls {string} out',
  async function (this: E2eWorld, first: string, one: string, second: string, other: string) {
    const [a, b] = await Promise.all([
      shell(this, first).run('bundle', 'rollout', proposalFile(this, one)),
      shell(this, second).run('bundle', 'rollout', proposalFile(this, other)),
    ]);
    runs.set(this, new Map([...(runs.get(this) ?? []), [one, a], [other, b]]));
  },
);

function runOf(world: E2eWorld, name: string): ClientRun {
  const run = runs.get(world)?.get(name);
  assert.ok(run, `"${name}" was not rolled out.`);
  return run;
}

Then('rolling {string} out exits {int}', function (this: E2eWorld, name: string, code: number) {
  const run = runOf(this, name);
  assert.equal(run.code, code, run.lines.join('\n'));
});

Then(
  'one of {string} and {string} is in force, the other told by whom and what to do',
  function (this: E2eWorld, one: string, other: string) {
    const both = [runOf(this, one), runOf(this, other)];
    const codes = both.map(({ code }) => code);
    assert.deepEqual([...codes].sort(), [0, 4], JSON.stringify(both));
    const told = both[codes.indexOf(4)]!.lines.join('\n');
    const winner = this.deployment.operators[codes.indexOf(0)]!.name;
    assert.match(told, new RegExp(`${winner} rolled it out`));
    assert.match(told, /propose and sign it again/);
  },
);

When(
  '{string} is tampered with to follow version {int}',
  function (this: E2eWorld, name: string, parent: number) {
    const file = proposalFile(this, name);
    const proposal = JSON.parse(readFileSync(file, 'utf8')) as { head: Record<string, unknown> };
    Object.assign(proposal.head, { parent, version: parent + 1 });
    writeFileSync(file, JSON.stringify(proposal));
  },
);

When('{word} is drained by the bundle', async function (this: E2eWorld, upstream: string) {
  const name = `drain-${upstream}`;
  await propose(this, name, { drained: [upstream] });
  await shell(this, 'ganbold').must('bundle', 'rollout', proposalFile(this, name));
  const guard = `guard-${upstream}`;
  const { id } = this.deployment.layout.entries[0]!;
  await until(
    `${guard} to drain`,
    async () => (await versionsAt(this.deployment, id)).get(guard)! > 1,
  );
});

/** Processes that run, by name; stand-ins have no version. */
function daemons({ deployment }: E2eWorld): string[] {
  const { entries, upstreams } = deployment.layout;
  const names = [...entries.map(({ id }) => id), ...upstreams.map(({ id }) => `guard-${id}`)];
  return names.filter((name) => deployment.process(name).running);
}

function runningEntry({ deployment }: E2eWorld): string {
  const found = deployment.layout.entries.find(({ id }) => deployment.process(id).running);
  assert.ok(found, 'No entry runs.');
  return found.id;
}

Then('version {int} is in force in every process', async function (this: E2eWorld, version) {
  let seen: Map<string, number> | undefined;
  await until(`version ${version} everywhere`, async () => {
    seen = await versionsAt(this.deployment, runningEntry(this));
    return daemons(this).every((name) => seen?.get(name) === version);
  }).catch((err: Error) => assert.fail(`${err.message} ${JSON.stringify([...(seen ?? [])])}`));
});

const watches = new WeakMap<E2eWorld, VersionFalls>();

When('versions are watched', function (this: E2eWorld) {
  const watch = new VersionFalls(this.deployment);
  watches.set(this, watch);
  watch.start();
});

Then('no version has fallen', async function (this: E2eWorld) {
  const watch = watches.get(this)!;
  await watch.stop();
  assert.deepEqual(watch.seen, []);
  assert.ok(watch.samples > 0);
});

When('the table {word}', async function (this: E2eWorld, fault: string) {
  const faults = { 'goes-down': { down: true }, hangs: { hang: true }, 'comes-back': {} }[fault];
  assert.ok(faults, `No fault "${fault}".`);
  await setFaults(this.deployment.layout.platform.upstream, faults);
});

When(
  'the table loses {int} answer(s) and {int} write(s)',
  async function (this: E2eWorld, loseAnswers: number, loseWrites: number) {
    await setFaults(this.deployment.layout.platform.upstream, { loseAnswers, loseWrites });
  },
);

When(
  '{word} rolls {string} out until it is told how it ended',
  async function (this: E2eWorld, operator: string, name: string) {
    const file = proposalFile(this, name);
    const run = await until(`the rollout of ${name}`, async () => {
      const tried = await shell(this, operator).run('bundle', 'rollout', file);
      return tried.code === 0 || tried.code === 4 ? tried : undefined;
    });
    runs.set(this, new Map([...(runs.get(this) ?? []), [name, run]]));
  },
);
