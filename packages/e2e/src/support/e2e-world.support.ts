/** World of the scenarios over separate processes: a deployment, its callers, and what they were told. */
import {
  After,
  Given,
  setDefaultTimeout,
  setWorldConstructor,
  Then,
  When,
} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { Caller, type Answer } from '../deployment/caller.js';
import { createAccountToken } from '../deployment/credentials.js';
import { Deployment, type DeploymentOptions } from '../deployment/deployment.js';
import { rollOut, type BundleText } from '../deployment/rollout.js';

const STEP_TIMEOUT_MS = 60_000;

setDefaultTimeout(STEP_TIMEOUT_MS);

/** The accounts of every scenario. */
export const ACCOUNTS = ['crews', 'weddings'] as const;

/** Shorter times than the defaults, so that takeovers are over soon. Verdicts never rest on them. */
const QUICK_SETTINGS = {
  entry: { heartbeat: { everyMs: 200, silenceMs: 1000 }, owner: { leaseMs: 1000, renewMs: 300 } },
  guard: { heartbeat: { everyMs: 200, silenceMs: 1000 }, announceTtlMs: 2000, taskLeaseMs: 2000 },
};

/** One scenario's deployment and what happened in it. */
export class E2eWorld {
  deployment!: Deployment;

  readonly tokens = new Map(
    ACCOUNTS.map((account) => [account as string, createAccountToken(account)]),
  );

  /** Answers and views by the name that the scenario gave them. */
  readonly answers = new Map<string, Answer>();

  /** Job and claim ids by the name that the scenario gave them. */
  readonly ids = new Map<string, string>();

  async deploy(options: DeploymentOptions): Promise<void> {
    const settings = {
      ...options.settings,
      entry: { ...QUICK_SETTINGS.entry, ...options.settings?.entry },
      guard: { ...QUICK_SETTINGS.guard, ...options.settings?.guard },
    };
    this.deployment = await Deployment.create({ ...options, settings });
    await this.deployment.start();
  }

  caller(account: string): Caller {
    const token = this.tokens.get(account);
    assert.ok(token, `No account "${account}" in this scenario.`);
    return new Caller(token);
  }

  /** Base URL of an entry. */
  url(entry: string): string {
    const found = this.deployment.layout.entries.find(({ id }) => id === entry);
    assert.ok(found, `No entry "${entry}" in this scenario.`);
    return `http://${found.vm.http}`;
  }

  answer(name: string): Answer {
    const found = this.answers.get(name);
    assert.ok(found, `Nothing was answered to "${name}".`);
    return found;
  }

  id(name: string): string {
    const found = this.ids.get(name);
    assert.ok(found, `Nothing is named "${name}".`);
    return found;
  }

  /** The bundle of every scenario; `change` varies it. */
  bundle(change: Partial<BundleText> = {}): BundleText {
    return {
      accounts: [...this.tokens.values()].map(({ account, sha256 }) => ({
        name: account,
        tokens: [{ id: 'test', sha256 }],
      })),
      kinds: [
        {
          name: 'match',
          path: 'request',
          urgency: 'urgent',
          idempotent: true,
          contract: { withinMs: 1000 },
        },
        {
          name: 'booking',
          path: 'request',
          urgency: 'urgent',
          idempotent: false,
          contract: { withinMs: 1000 },
        },
        {
          name: 'proof',
          path: 'job',
          urgency: 'urgent',
          idempotent: true,
          contract: { withinMs: 60_000 },
        },
        { name: 'render', path: 'job', urgency: 'waiting', idempotent: true, checkpointable: true },
        { name: 'entry', path: 'job', urgency: 'waiting', idempotent: false },
      ],
      guarantees: [],
      ...change,
    };
  }

  rollOut(change: Partial<BundleText> = {}): Promise<void> {
    return rollOut(this.deployment, this.bundle(change));
  }
}

setWorldConstructor(E2eWorld);

After(async function (this: E2eWorld) {
  await this.deployment?.stop();
});

Given(
  'a deployment of {int} failure domain(s) with {int} entries, {int} runner(s) and {int} worker(s) in each',
  async function (
    this: E2eWorld,
    domains: number,
    entries: number,
    runners: number,
    workers: number,
  ) {
    const failureDomains = Array.from({ length: domains }, (_, n) => `hall-${n + 1}`);
    await this.deploy({ failureDomains, entries, runners, workers });
    await this.rollOut();
  },
);

When(
  '{word} sends a {word} request named {string} to {word} that takes {int} ms',
  async function (
    this: E2eWorld,
    account: string,
    kind: string,
    name: string,
    entry: string,
    serviceMs: number,
  ) {
    const body = { name, serviceMs };
    const url = `${this.url(entry)}/v1/requests/${kind}`;
    this.answers.set(name, await this.caller(account).call('POST', url, { body }));
  },
);

Then('{string} is answered whole', function (this: E2eWorld, name: string) {
  const { status, body } = this.answer(name);
  assert.equal(status, 200, JSON.stringify(body));
  assert.equal((body as { echo: { name: string } }).echo.name, name);
});

When(
  '{word} submits a {word} job named {string} of {int} task(s) with {int} accelerator(s) to {word} that runs {int} ms',
  async function (
    this: E2eWorld,
    account: string,
    kind: string,
    name: string,
    tasks: number,
    acceleratorsPerTask: number,
    entry: string,
    runMs: number,
  ) {
    const body = { kind, shape: { tasks, acceleratorsPerTask }, params: { runMs } };
    const answer = await this.caller(account).call('POST', `${this.url(entry)}/v1/jobs`, { body });
    this.answers.set(name, answer);
    if (answer.status === 202) this.ids.set(name, (answer.body as { id: string }).id);
  },
);

When(
  '{word} waits at {word} until job {string} has ended',
  async function (this: E2eWorld, account: string, entry: string, name: string) {
    const url = `${this.url(entry)}/v1/jobs/${this.id(name)}/wait?timeoutMs=5000`;
    for (;;) {
      const answer = await this.caller(account).call('GET', url);
      this.answers.set(name, answer);
      if ((answer.body as { final?: boolean }).final || answer.status >= 400) return;
    }
  },
);

Then('job {string} has {word}', function (this: E2eWorld, name: string, state: string) {
  const { body } = this.answer(name);
  assert.equal((body as { state: string }).state, state, JSON.stringify(body));
});

When('{word} is killed', async function (this: E2eWorld, process: string) {
  await this.deployment.process(process).kill();
});
