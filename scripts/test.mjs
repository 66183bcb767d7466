/** `npm test`: installs what is missing, builds the binaries and runs the tests. Arguments go to ava. */
import { prepare, run } from './lib/repository.mjs';

const prepared = await prepare();
const exitCode =
  prepared === 0 ? await run('npx', ['--no-install', 'ava', ...process.argv.slice(2)]) : prepared;
process.exit(exitCode);
