import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import { FindingsError, ProblemError, type Finding, type Settings } from '@zincspan/core';
import { loadSettings } from '../load-settings.js';

interface SettingsWorld {
  directory: string;
  copy: string;
  settings: Settings | undefined;
  error: unknown;
  run: { status: number | null; output: string };
}

/** A process may be slow to start on a busy machine; the verdict is its exit. */
const PROCESS = { timeout: 60_000 };

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

function exampleFile(name: string): string {
  return fileURLToPath(new URL(`../../../../examples/settings/${name}`, import.meta.url));
}

async function writeCopy(
  world: SettingsWorld,
  name: string,
  pattern: RegExp,
  text: string,
): Promise<void> {
  const before = await readFile(exampleFile(name), 'utf8');
  assert.match(before, pattern);
  Object.assign(world, { copy: join(world.directory, name) });
  await writeFile(world.copy, before.replace(pattern, text));
}

async function load(world: SettingsWorld, file: string): Promise<void> {
  Object.assign(world, { settings: undefined, error: undefined });
  try {
    Object.assign(world, { settings: await loadSettings(file) });
  } catch (error) {
    Object.assign(world, { error });
  }
}

async function check(world: SettingsWorld, file: string): Promise<void> {
  const child = spawn(process.execPath, [MAIN, '--settings', file, '--check']);
  let output = '';
  [child.stdout, child.stderr].forEach((stream) => {
    stream.setEncoding('utf8').on('data', (text: string) => {
      output += text;
    });
  });
  const [status] = (await once(child, 'close')) as [number | null];
  Object.assign(world, { run: { status, output } });
}

function onlyFinding({ error }: SettingsWorld): Finding {
  assert.ok(error instanceof FindingsError, String(error));
  assert.equal(error.findings.length, 1, error.message);
  return error.findings[0] as Finding;
}

Before({ tags: '@settings-file' }, async function (this: SettingsWorld) {
  this.directory = await mkdtemp(join(tmpdir(), 'zincspan-settings-'));
});

After({ tags: '@settings-file' }, async function (this: SettingsWorld) {
  await rm(this.directory, { recursive: true, force: true });
});

Given(
  "a copy of the daemon's example settings {string} with {string} renamed {string}",
  async function (this: SettingsWorld, name: string, field: string, to: string) {
    await writeCopy(this, name, new RegExp(`"${field}":`), `"${to}":`);
  },
);

Given(
  "a copy of the daemon's example settings {string} with {string} set to {string}",
  async function (this: SettingsWorld, name: string, field: string, value: string) {
    await writeCopy(this, name, new RegExp(`"${field}": [^,{[]+,`), `"${field}": ${value},`);
  },
);

When(
  "the daemon's example settings {string} are loaded",
  async function (this: SettingsWorld, name: string) {
    await load(this, exampleFile(name));
  },
);

When('that copy is loaded as daemon settings', async function (this: SettingsWorld) {
  await load(this, this.copy);
});

When(
  "daemon settings are loaded from a file that isn't there",
  async function (this: SettingsWorld) {
    Object.assign(this, { copy: join(this.directory, 'absent.jsonc') });
    await load(this, this.copy);
  },
);

When(
  'zincspand checks the example settings {string}',
  PROCESS,
  async function (this: SettingsWorld, name: string) {
    await check(this, exampleFile(name));
  },
);

When('zincspand checks that copy', PROCESS, async function (this: SettingsWorld) {
  await check(this, this.copy);
});

Then(
  /^the daemon settings are of an? (entry|guard)$/,
  function (this: SettingsWorld, role: string) {
    assert.equal(this.settings?.role, role, String(this.error));
  },
);

Then(
  'the daemon settings are refused at path {string}',
  function (this: SettingsWorld, path: string) {
    assert.equal(onlyFinding(this).path, path);
  },
);

Then(
  "the daemon settings' finding expects {string} with remedy {string}",
  function (this: SettingsWorld, expected: string, remedy: string) {
    const finding = onlyFinding(this);
    assert.deepEqual([finding.expected, finding.remedy], [expected, remedy]);
    assert.ok((finding.line ?? 0) > 1, 'The finding tells its line.');
  },
);

Then(
  "the daemon settings' problem tells the file, that it can't be read, and to use {string}",
  function (this: SettingsWorld, flag: string) {
    assert.ok(this.error instanceof ProblemError, String(this.error));
    const { kind, detail, remedy } = this.error.problem;
    assert.equal(kind, 'bad-input');
    assert.ok(detail.includes(this.copy) && detail.includes("can't be read"), detail);
    assert.ok(remedy.includes(flag), remedy);
  },
);

Then(
  'zincspand exits {int} and prints {string}',
  function (this: SettingsWorld, status: number, text: string) {
    assert.equal(this.run.status, status, this.run.output);
    assert.ok(this.run.output.includes(text), this.run.output);
  },
);
