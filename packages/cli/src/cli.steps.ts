import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { loadBundle } from './bundle/bundle-file.js';
import { OperatorDesk } from './cli.support.js';

interface ClientWorld {
  desk?: OperatorDesk;
}

const BUNDLE = `{
  // Two accounts
  "accounts": [{ "name": "tuul", "tokens": [{ "id": "a", "sha256": "${'a'.repeat(64)}" }] }],
  "kinds": []
}`;

async function openDesk(world: ClientWorld, entries: number, dead = 0): Promise<OperatorDesk> {
  const desk = new OperatorDesk();
  Object.assign(world, { desk });
  await desk.makeKeys();
  await desk.start({ entries, dead: entries === 0 ? 1 : dead });
  desk.write('bundle.jsonc', BUNDLE);
  desk.write('wrong.jsonc', BUNDLE.replace('"tuul",', '"tuul", "share": -1,'));
  return desk;
}

async function succeed(desk: OperatorDesk, line: string): Promise<void> {
  assert.equal(await desk.run(line), 0, desk.err);
}

async function signTwice(desk: OperatorDesk, file: string): Promise<void> {
  await succeed(desk, `bundle sign @${file}`);
  await succeed(desk, `bundle sign @${file} --key @anu.key.json`);
}

Given(
  /^an operators' desk with (\d+) entry(?: after (\d+) dead address)?$/,
  async function (this: ClientWorld, entries: string, dead?: string) {
    const desk = await openDesk(this, Number(entries), Number(dead ?? 0));
    const head = { version: 1, parent: 0, digest: 'b'.repeat(64), note: '', signatures: [] };
    desk.write('tampered.json', `{"head":${JSON.stringify(head)},"bundle":${BUNDLE}}`);
  },
);

Given("an operators' desk with version 1 in force", async function (this: ClientWorld) {
  const desk = await openDesk(this, 1);
  await succeed(desk, 'bundle propose @bundle.jsonc');
  await signTwice(desk, 'bundle.v1.proposal.json');
  await succeed(desk, 'bundle rollout @bundle.v1.proposal.json');
});

When('the client runs {string}', async function (this: ClientWorld, line: string) {
  await succeed(this.desk!, line);
});

When(
  'both operators sign {string} and one rolls it out',
  async function (this: ClientWorld, file: string) {
    await signTwice(this.desk!, file);
    await succeed(this.desk!, `bundle rollout @${file}`);
  },
);

When(
  'two drains are proposed and signed, and the first is rolled out',
  async function (this: ClientWorld) {
    const desk = this.desk!;
    await succeed(desk, 'drain worker-1 --out @first.json');
    await succeed(desk, 'drain worker-2 --out @second.json');
    await signTwice(desk, 'first.json');
    await signTwice(desk, 'second.json');
    await succeed(desk, 'bundle rollout @first.json');
  },
);

When(/^the client's settings are (.*?) *$/, function (this: ClientWorld, json: string) {
  this.desk!.writeConfig(JSON.parse(json) as object);
});

When("the client's table is down", function (this: ClientWorld) {
  this.desk!.tableDown(true);
});

Then('the client prints {string}', function (this: ClientWorld, text: string) {
  assert.ok(this.desk!.out.includes(text), this.desk!.out);
});

Then(
  'after {string} the client prints {string}',
  async function (this: ClientWorld, line: string, text: string) {
    await succeed(this.desk!, line);
    assert.ok(this.desk!.out.includes(text), this.desk!.out);
  },
);

Then(
  /^"(.*)" exits with (\d) and says "(.*)"$/,
  async function (this: ClientWorld, line: string, code: string, words: string) {
    const desk = this.desk!;
    assert.equal(await desk.run(line), Number(code), desk.err);
    assert.ok(desk.err.includes(words), desk.err);
  },
);

Then("the client's call asked for job {string}", function (this: ClientWorld, job: string) {
  assert.equal(this.desk!.lastQuery.get('job'), job);
});

Then("the client's token hashes to its entry", function (this: ClientWorld) {
  const { token, entry } = JSON.parse(this.desk!.out) as {
    token: string;
    entry: { id: string; sha256: string };
  };
  const sha256 = createHash('sha256').update(token).digest('hex');
  assert.deepEqual(entry, { id: 'main', sha256 });
});

Then(
  "the client's page {string} has marks and no outside links",
  function (this: ClientWorld, file: string) {
    const page = this.desk!.read(file);
    assert.match(page, /<circle .*bundle\.rolled-out/);
    assert.doesNotMatch(page.replace('http://www.w3.org/2000/svg', ''), /https?:|src=|href=/);
  },
);

Then(
  'the example bundle {string} fits on 10 workers of {int} cores and {int} MB in {string}',
  function (name: string, cores: number, memoryMb: number, domains: string) {
    const names = domains.split(', ');
    const workers = Array.from({ length: 10 }, (_, i) => ({
      type: 'worker' as const,
      id: `worker-${i}`,
      address: '127.0.0.1:1',
      rack: `rack-${Math.floor(i / 3)}`,
      rackPosition: Math.floor(i / 3),
      cores,
      memoryMb,
      accelerators: 8,
    }));
    const placed = workers.map((worker) => ({
      ...worker,
      failureDomain: names[worker.rackPosition % names.length]!,
    }));
    assert.ok(loadBundle(`examples/${name}/bundle.jsonc`, placed).guarantees.length > 0);
  },
);

After(async function (this: ClientWorld) {
  await this.desk?.stop();
});
