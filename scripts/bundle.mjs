/**
 * Bundles the two binaries. One file per role instead of hundreds of modules: a guard's VM gives it 64 MB, and
 * separate modules cost it most of that.
 */
import { chmodSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.mjs';

const BINARIES = [
  { entry: 'packages/daemon/dist/main.js', outdir: 'packages/daemon/dist/bin' },
  { entry: 'packages/cli/dist/main.js', outdir: 'packages/cli/dist/bin' },
];

// Chunks are named by content: old ones would pile up.
BINARIES.forEach(({ outdir }) => rmSync(outdir, { recursive: true, force: true }));

await Promise.all(
  BINARIES.map(({ entry, outdir }) =>
    build({
      ...BUNDLE_OPTIONS,
      entryPoints: [entry],
      outdir,
      splitting: true,
    }),
  ),
);

// npm links them as commands.
BINARIES.forEach(({ outdir }) => chmodSync(`${outdir}/main.js`, 0o755));
