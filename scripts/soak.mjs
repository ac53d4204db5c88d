/** Sets up, then runs random faults over separate processes: `npm run soak -- --seed N --minutes M`. */
import { run, setUp } from './setup.mjs';

setUp();
run('node', ['packages/e2e/dist/soak/soak.js', ...process.argv.slice(2)]);
