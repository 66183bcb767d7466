/**
 * Lint rules: Airbnb's for TypeScript, then the deviations of this project's own style, each with its
 * reason, then the direction of dependencies between packages. Prettier alone decides about layout.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettierConfig from 'eslint-config-prettier';
import { layeringConfigs } from './scripts/lint/layering.mjs';
import { moduleCommentPlugin } from './scripts/lint/moduleComment.mjs';

const repositoryRoot = import.meta.dirname;
const testFiles = ['packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'];
const sourceFiles = [
  'packages/*/src/**/*.ts',
  'platform/src/**/*.ts',
  'platform/standins/src/**/*.ts',
];
const typescriptFiles = ['**/*.ts'];
const scriptFiles = ['**/*.mjs', '*.js'];

/** Of Node.js, for files that the TypeScript compiler does not check. */
const nodeGlobals = Object.fromEntries(
  ['AbortController', 'AbortSignal', 'Buffer', 'URL', 'clearTimeout', 'fetch', 'performance']
    .concat(['TextDecoder', 'clearInterval', 'process', 'setInterval', 'setTimeout'])
    .map((name) => [name, 'readonly']),
);

const houseRules = {
  // House style: named exports only, so that an item has one name everywhere.
  'import-x/prefer-default-export': 'off',
  'import-x/no-default-export': 'error',
  // House style: types and the factory come first, helpers after them; functions are hoisted.
  // Variables of an outer scope may be named in a closure that runs later.
  'no-use-before-define': ['error', { functions: false, classes: true, variables: false }],
  // Retries, polls and streams wait for one step before the next; parallel ones use Promise.all.
  'no-await-in-loop': 'off',
  // Airbnb bans for-of because of an old transpiler's cost; `for await` has no array method instead.
  'no-restricted-syntax': [
    'error',
    { selector: 'ForInStatement', message: 'Use Object.keys, values or entries.' },
    { selector: 'LabeledStatement', message: 'Split the function instead.' },
    { selector: 'WithStatement', message: 'Name the object.' },
    { selector: 'TSEnumDeclaration', message: 'Use a constant object and its value union.' },
    { selector: 'ClassDeclaration', message: 'Use a createX factory and closures.' },
  ],
  // `void promise;` marks a promise that is deliberately not awaited; see no-floating-promises.
  'no-void': ['error', { allowAsStatement: true }],
  'no-promise-executor-return': ['error', { allowVoid: true }],
  // House style has no classes: state is a record that its owner's functions change, where a class
  // would write `this.field`.
  'no-param-reassign': ['error', { props: false }],
  // Hashes and seeded randomness work on unsigned 32-bit integers.
  'no-bitwise': ['error', { allow: ['>>>', '^'] }],
  // Programs of this project write through their logger or to process.stdout on purpose.
  'no-console': 'error',
  complexity: ['error', 12],
  'max-depth': ['error', 3],
};

const typescriptRules = {
  '@typescript-eslint/no-use-before-define': [
    'error',
    { functions: false, classes: true, variables: false, ignoreTypeReferences: true },
  ],
  'no-use-before-define': 'off',
  '@typescript-eslint/no-unused-vars': [
    'error',
    { args: 'after-used', argsIgnorePattern: '^_', ignoreRestSiblings: true },
  ],
  '@typescript-eslint/no-explicit-any': 'error',
  '@typescript-eslint/no-non-null-assertion': 'error',
  '@typescript-eslint/consistent-type-imports': [
    'error',
    { prefer: 'type-imports', fixStyle: 'inline-type-imports' },
  ],
  // A dropped promise loses its error and lets a task run on unseen after its owner ended.
  '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: true }],
  '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: { arguments: false } }],
  '@typescript-eslint/await-thenable': 'error',
  '@typescript-eslint/switch-exhaustiveness-check': [
    'error',
    { considerDefaultExhaustiveForUnions: true, requireDefaultForNonUnion: true },
  ],
  // The compiler proves exhaustive switches; a default that cannot be reached would hide a new variant.
  'default-case': 'off',
  'consistent-return': 'off',
  'array-callback-return': 'off',
};

export default [
  { ignores: ['**/node_modules/**', 'dist/**', 'target/**', 'coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettierConfig,
  { name: 'bluebellhitch/style', rules: houseRules },
  {
    name: 'bluebellhitch/typescript',
    files: typescriptFiles,
    languageOptions: {
      parserOptions: { projectService: true },
    },
    rules: typescriptRules,
  },
  {
    name: 'bluebellhitch/workspaces',
    // One lock file and one list of dependencies, at the root, serve all workspaces.
    settings: { 'import-x/internal-regex': '^@bluebellhitch/' },
  },
  {
    name: 'bluebellhitch/source',
    files: sourceFiles,
    plugins: { bluebellhitch: moduleCommentPlugin },
    rules: {
      'bluebellhitch/module-comment': 'error',
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: false, packageDir: repositoryRoot },
      ],
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    name: 'bluebellhitch/tests',
    files: testFiles,
    rules: {
      // Ava's test function is a default export, and libraries for tests are devDependencies.
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: repositoryRoot },
      ],
      'import-x/no-named-as-default': 'off',
      // Tests open results of neverthrow this way, so that an unexpected variant fails with its value.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
    },
  },
  {
    name: 'bluebellhitch/measurements',
    files: ['packages/*/scripts/**/*.ts'],
    rules: {
      // neverthrow's names for a value whose error would be a defect of the script.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: repositoryRoot },
      ],
    },
  },
  {
    name: 'bluebellhitch/scripts',
    files: scriptFiles,
    languageOptions: { globals: nodeGlobals },
    rules: {
      // Node.js resolves relative imports of plain scripts by their full name only.
      'import-x/extensions': ['error', 'ignorePackages', { mjs: 'always', js: 'always' }],
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: repositoryRoot },
      ],
    },
  },
  {
    name: 'bluebellhitch/tool-configuration',
    files: ['eslint.config.mjs', 'ava.config.js', 'prettier.config.mjs'],
    // These tools read the default export.
    rules: { 'import-x/no-default-export': 'off' },
  },
  ...layeringConfigs,
];
