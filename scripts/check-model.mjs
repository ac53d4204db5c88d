/** Explores the model of the core protocol within the larger bounds. */
import { run, setUp } from './setup.mjs';

setUp();
run('node', ['--max-old-space-size=8192', 'packages/spec/dist/main.js', '--large']);
