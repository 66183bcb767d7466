export default {
  files: [
    'packages/*/__tests__/**/*.test.ts',
    'platform/__tests__/**/*.test.ts',
    // See ava.alone.config.js.
    '!**/*.alone.test.ts',
  ],
  extensions: { ts: 'module' },
  // Worker threads do not inherit the TypeScript loader on Node.js 20; child processes do.
  workerThreads: false,
  nodeArguments: ['--import=tsx', '--conditions=bluebell-source'],
  timeout: '2m',
};
