/**
 * Bundles the two binaries. One file per role instead of hundreds of modules: a guard's VM gives it 64 MB, and
 * separate modules cost it most of that.
 */
import { chmodSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

const BINARIES = [
  { entry: 'packages/daemon/dist/main.js', outdir: 'packages/daemon/dist/bin' },
  { entry: 'packages/cli/dist/main.js', outdir: 'packages/cli/dist/bin' },
];

/** CommonJS libraries in an ES module bundle still ask for `require`. */
const REQUIRE_BANNER =
  "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);";

// Chunks are named by content: old ones would pile up.
BINARIES.forEach(({ outdir }) => rmSync(outdir, { recursive: true, force: true }));

await Promise.all(
  BINARIES.map(({ entry, outdir }) =>
    build({
      entryPoints: [entry],
      outdir,
      bundle: true,
      splitting: true,
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
    }),
  ),
);

// npm links them as commands.
BINARIES.forEach(({ outdir }) => chmodSync(`${outdir}/main.js`, 0o755));
