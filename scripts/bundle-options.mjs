/** What all bundles of the repository have in common. */

/**
 * CommonJS libraries in an ES module bundle still ask for `require`, and get Node's own modules by it. A library's optional
 * extras are left out even where they happen to be installed: loading bunyan's for the rotation of files, which isn't used, took
 * 23 of the 240 ms until a process reads its settings (by a profile of its start).
 */
const REQUIRE_BANNER = [
  "import { createRequire as createBundleRequire, isBuiltin as isNodeModule } from 'node:module';",
  'const requireNodeModule = createBundleRequire(import.meta.url);',
  'const require = (name) => {',
  '  if (isNodeModule(name)) return requireNodeModule(name);',
  "  throw Object.assign(new Error(name + ' is not bundled'), { code: 'MODULE_NOT_FOUND' });",
  '};',
].join('\n');

export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Its "main" is UMD, whose inner requires no bundler sees. Elsewhere "main" keeps the order of imports that
  // reflect-metadata and tsyringe need.
  alias: { 'jsonc-parser': 'jsonc-parser/lib/esm/main.js' },
  legalComments: 'none',
  // Optional native extras: the libraries do without them.
  external: [
    'msgpackr-extract',
    'bufferutil',
    'utf-8-validate',
    'dtrace-provider',
    'unix-dgram',
    'mv',
    'source-map-support',
  ],
  banner: { js: `#!/usr/bin/env node\n${REQUIRE_BANNER}` },
  logLevel: 'warning',
};

/** The platform's program, from the root of the repository. What only one role needs is in a chunk of its own. */
export const PLATFORM_BUNDLE = {
  ...BUNDLE_OPTIONS,
  entryPoints: { zincspan: 'platform/dist/main.js' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  splitting: true,
};
