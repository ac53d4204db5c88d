/** Sets up, then runs a bench: `node scripts/bench.mjs <bench> [options]`. */
import { run, setUp } from './setup.mjs';

setUp();
run('node', ['packages/bench/dist/main.js', ...process.argv.slice(2)]);
