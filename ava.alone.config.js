import common from './ava.config.js';

/** Tests that run one at a time, apart from all others: what they check must not depend on other load. */
export default {
  ...common,
  files: ['packages/*/__tests__/**/*.alone.test.ts'],
  serial: true,
  concurrency: 1,
};
