/** Installs dependencies and builds, if they aren't there yet or have changed since. */
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Runs a command with its output shown. Throws if it fails. */
export function run(cmd, args, options = {}) {
  const { status, signal } = spawnSync(cmd, args, { stdio: 'inherit', ...options });
  if (status === 0) return;
  throw new Error(
    `${cmd} ${args.join(' ')} failed (${signal ?? status}). Its output above says why.`,
  );
}

/** True if installed packages are at least as new as the lock file. */
function installed() {
  const marker = 'node_modules/.package-lock.json';
  if (!existsSync(marker)) return false;
  return statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs;
}

/** Installs and builds the workspace. */
export function setUp() {
  if (!installed()) run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  run('npx', ['tsc', '-b']);
  if (existsSync('scripts/bundle.mjs')) run('node', ['scripts/bundle.mjs']);
}

if (fileURLToPath(import.meta.url) === process.argv[1]) setUp();
