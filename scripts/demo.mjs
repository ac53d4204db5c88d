/** Sets up, then runs the main job on stand-ins. */
import { run, setUp } from './setup.mjs';

setUp();
run('node', ['packages/e2e/dist/demo/demo.js']);
