/** Bundles the platform's program into target/: one file, so that a process starts within a fraction of a second. */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.mjs';

const OUTPUT = 'target/zincspan.mjs';

rmSync('target', { recursive: true, force: true });
await build({ ...BUNDLE_OPTIONS, entryPoints: ['platform/dist/main.js'], outfile: OUTPUT });
