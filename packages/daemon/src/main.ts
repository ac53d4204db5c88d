/** `zincspand`: an entry or a guard, as its settings say. */
import 'reflect-metadata';
import { cac } from 'cac';
import { toProblem, type Settings } from '@zincspan/core';
import { createContainer } from './container/container.js';
import { CONTEXT, LOG, ROLE } from './container/tokens.js';
import { Lifecycle } from './lifecycle.js';
import { loadSettings } from './load-settings.js';
import { registerRole } from './role/register-role.js';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

interface Flags {
  settings?: string;
  check?: boolean;
}

function exit(code: number): void {
  // Lets the last log line out; open sockets must not keep a stopped daemon alive.
  process.exitCode = code;
  setImmediate(() => process.exit(code));
}

function fail(err: unknown, code: number): void {
  const { detail, remedy } = toProblem(err);
  process.stderr.write(`zincspand: ${detail} ${remedy}\n`);
  exit(code);
}

async function run(settings: Settings): Promise<void> {
  const container = createContainer(settings);
  await registerRole(container, settings);
  const { timeline } = container.resolve(CONTEXT);
  const lifecycle = new Lifecycle({
    role: container.resolve(ROLE),
    log: container.resolve(LOG),
    timeline,
    exit,
  });
  await lifecycle.start();
}

/** Checks the settings, then runs the role that they name. */
async function start({ settings: file = 'zincspand.jsonc', check = false }: Flags): Promise<void> {
  let settings: Settings;
  try {
    settings = await loadSettings(file);
  } catch (err) {
    fail(err, EXIT_BAD_SETTINGS);
    return;
  }
  if (check) {
    process.stdout.write(`Settings of ${settings.role} "${settings.id}" are good.\n`);
    return;
  }
  await run(settings).catch((err) => fail(err, EXIT_FAILED));
}

function main(argv: string[]): void {
  const cli = cac('zincspand');
  cli
    .command('', 'Run an entry or a guard until SIGTERM, which drains it first')
    .option('--settings <file>', 'JSON with comments; default zincspand.jsonc')
    .option('--check', 'Check the settings and exit: 0 good, 2 bad')
    .action(start);
  cli.help();
  cli.version('0.1.0');
  try {
    cli.parse(argv);
  } catch (err) {
    fail(err, EXIT_BAD_SETTINGS);
  }
}

main(process.argv);
