/** What all bundles of the repository have in common. */

/** CommonJS libraries in an ES module bundle still ask for `require`. */
const REQUIRE_BANNER =
  "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);";

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
