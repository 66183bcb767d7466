/**
 * Lint rules: Airbnb's for TypeScript, then the deviations of this project, each with its reason, then the direction of
 * dependencies between packages. Layout is left to Prettier.
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

/** Globals of Node.js, for files that the TypeScript compiler does not check. */
const nodeGlobals = Object.fromEntries(
  ['AbortController', 'AbortSignal', 'Buffer', 'URL', 'clearTimeout', 'fetch', 'performance']
    .concat(['TextDecoder', 'clearInterval', 'process', 'setInterval', 'setTimeout'])
    .map((name) => [name, 'readonly']),
);

const projectRules = {
  // Named exports only, so that an item has the same name everywhere.
  'import-x/prefer-default-export': 'off',
  'import-x/no-default-export': 'error',
  // Types and the factory come first and helpers after them; functions are hoisted. A closure that runs later may
  // refer to variables of an outer scope that are declared after it.
  'no-use-before-define': ['error', { functions: false, classes: true, variables: false }],
  // Retries, polls and streams run one step after the other; parallel work uses Promise.all.
  'no-await-in-loop': 'off',
  // Airbnb bans for-of because old transpilers made it costly; `for await` has no equivalent array method.
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
  // There are no classes: state is a plain object that the functions of its owner mutate, where a class would write
  // to `this.field`.
  'no-param-reassign': ['error', { props: false }],
  // Hashes and seeded random generators work on unsigned 32-bit integers.
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
  // A floating promise loses its error, and its task may keep running unnoticed after its owner has ended.
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
  { name: 'bluebellhitch/style', rules: projectRules },
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
    // All workspaces share one lock file and one list of dependencies, at the root.
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
      // Tests unwrap results of neverthrow this way, so that an unexpected variant fails with its value.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
    },
  },
  {
    name: 'bluebellhitch/measurements',
    files: ['packages/*/scripts/**/*.ts'],
    rules: {
      // Measurements unwrap results of neverthrow this way if an error would be a bug of the script.
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
      // Node.js resolves relative imports of plain scripts only with their extension.
      'import-x/extensions': ['error', 'ignorePackages', { mjs: 'always', js: 'always' }],
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: repositoryRoot },
      ],
    },
  },
  {
    name: 'bluebellhitch/tool-configuration',
    files: ['eslint.config.mjs', 'ava.config.js', 'ava.alone.config.js', 'prettier.config.mjs'],
    // These tools read the default export.
    rules: { 'import-x/no-default-export': 'off' },
  },
  ...layeringConfigs,
];
