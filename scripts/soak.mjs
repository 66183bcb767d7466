/**
 * `npm run soak -- --minutes N --seed S`: random scripts of failures over a world of real entries and
 * agents, from seed S on, for N minutes. Prints the seed and the shrunk script of the first failure.
 */
import { spawn } from 'node:child_process';
import { repositoryRoot } from './lib/repository.mjs';

const program = 'packages/scenarios/__tests__/support/soak.ts';
const child = spawn(
  process.execPath,
  ['--import=tsx', '--conditions=bluebell-source', program, ...process.argv.slice(2)],
  { cwd: repositoryRoot, stdio: 'inherit' },
);
child.once('close', (code) => process.exit(code ?? 1));
