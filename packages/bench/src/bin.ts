/** `bluebell-bench`: load generator and experiments that run the real binaries with stand-ins. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { exitCodes, formatFindings } from '@bluebellhitch/shared';
import { parseCommandLine } from './commandLine';
import { runCommand } from './runCommand';

// This file runs as dist/bluebell-bench.js, in the directory of the binaries that it starts.
const binaryDirectory = dirname(fileURLToPath(import.meta.url));
const repositoryRoot = join(binaryDirectory, '..');

async function main(): Promise<number> {
  const parsed = parseCommandLine(process.argv.slice(2));
  if (parsed.isErr()) {
    process.stderr.write(`bluebell-bench: invalid arguments\n${formatFindings(parsed.error)}\n`);
    return exitCodes.invalidSettings;
  }
  if (parsed.value.kind === 'help') {
    process.stdout.write(parsed.value.text);
    return exitCodes.ok;
  }
  const stop = new AbortController();
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => stop.abort()));
  await runCommand(parsed.value.command, parsed.value.flags, {
    binaryDirectory,
    exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
    examplesDirectory: join(repositoryRoot, 'examples'),
    progress: (line) => process.stderr.write(`${line}\n`),
    signal: stop.signal,
  });
  return exitCodes.ok;
}

// Exiting closes the children's pipes, which ends every process that was started.
try {
  process.exit(await main());
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exit(exitCodes.failure);
}
