/** Cucumber profiles. Step files are compiled beside the code that they test. */
const common = { failFast: false, strict: true, forceExit: true, format: ['progress'] };

export default {
  ...common,
  paths: ['packages/!(e2e)/src/**/*.feature', 'platform/src/**/*.feature'],
  import: ['packages/!(e2e)/dist/**/*.steps.js', 'platform/dist/**/*.steps.js'],
};

/** Only the features named on the command line. */
export const only = {
  ...common,
  import: ['packages/!(e2e)/dist/**/*.steps.js', 'platform/dist/**/*.steps.js'],
};

export const e2e = {
  ...common,
  // Each worker process has loopback addresses of its own.
  parallel: 4,
  paths: ['packages/e2e/src/!(misbehaving-clients)/**/*.feature'],
  import: [
    'packages/e2e/dist/**/*.support.js',
    'packages/e2e/dist/!(misbehaving-clients)/**/*.steps.js',
  ],
};

/** One scenario at a time, since each measures the memory of a process. */
export const misbehaving = {
  ...common,
  paths: ['packages/e2e/src/misbehaving-clients/*.feature'],
  import: ['packages/e2e/dist/misbehaving-clients/*.steps.js'],
};
