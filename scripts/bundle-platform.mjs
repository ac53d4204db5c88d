/** Bundles the platform's program into target/: a few files, so that a process starts within a fraction of a second. */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';
import { PLATFORM_BUNDLE } from './bundle-options.mjs';

rmSync(PLATFORM_BUNDLE.outdir, { recursive: true, force: true });
await build(PLATFORM_BUNDLE);
