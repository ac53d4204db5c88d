import { configs, plugins } from 'eslint-config-airbnb-extended';

/** House rules: Airbnb's guide, with the few lines the house style overrides. */
export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'reports/**', '**/generated/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Prettier owns layout.
      ...Object.fromEntries(
        [
          'max-len',
          'indent',
          'operator-linebreak',
          'object-curly-newline',
          'implicit-arrow-linebreak',
          'function-paren-newline',
          'newline-per-chained-call',
          'no-confusing-arrow',
          'quotes',
          'no-mixed-operators',
          'wrap-iife',
          'no-extra-parens',
          'generator-star-spacing',
          'member-delimiter-style',
          'quote-props',
          'brace-style',
          'nonblock-statement-body-position',
        ].map((name) => [`@stylistic/${name}`, 'off']),
      ),
      // Small named exports, as the model writes them.
      'import-x/prefer-default-export': 'off',
      // NodeNext resolution wants the extension of the emitted file.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      // Function declarations may be read top down.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      // Loops over await are the point of a control loop.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'class-methods-use-this': [
        'error',
        { ignoreClassesWithImplements: 'all', ignoreOverrideMethods: true },
      ],
      'max-classes-per-file': ['error', { max: 2, ignoreExpressions: true }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-console': 'error',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-explicit-any': 'error',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-cycle': 'error',
    },
  },
  {
    files: [
      'scripts/**',
      'packages/bench/**',
      'packages/e2e/**',
      'packages/cli/**',
      'packages/stand-ins/**',
      'packages/spec/**',
      'platform/src/settings.ts',
      'platform/src/cell-policy-file.ts',
    ],
    rules: { 'no-console': 'off', 'n/no-sync': 'off' },
  },
  {
    files: ['packages/*/src/main.ts', 'platform/src/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['**/*.steps.ts', '**/*.support.ts'],
    rules: { 'func-names': 'off', 'prefer-arrow-callback': 'off' },
  },
];
