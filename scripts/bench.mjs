/** `npm run bench -- <command> [flags]`: builds the binaries and runs `bluebell-bench`. */
import { join } from 'node:path';
import { prepare, repositoryRoot, run } from './lib/repository.mjs';

const prepared = await prepare();
process.exit(
  prepared === 0
    ? await run(process.execPath, [
        join(repositoryRoot, 'dist', 'bluebell-bench.js'),
        ...process.argv.slice(2),
      ])
    : prepared,
);
