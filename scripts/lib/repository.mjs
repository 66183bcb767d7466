/** Where the repository is, and what a script needs before it can run. */
import { spawn } from 'node:child_process';
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const repositoryRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Runs a command with this terminal's output; resolves with its exit code. */
export function run(command, args) {
  return new Promise((resolve, reject) => {
    const child = spawn(command, args, { cwd: repositoryRoot, stdio: 'inherit' });
    child.once('error', reject);
    child.once('close', (code) => resolve(code ?? 1));
  });
}

/** Installs the locked dependencies where there are none; resolves with npm's exit code. */
export async function ensureInstalled() {
  // npm writes this file last, so that a broken installation is done again.
  if (existsSync(join(repositoryRoot, 'node_modules', '.package-lock.json'))) {
    return 0;
  }
  return run('npm', ['ci', '--no-audit', '--no-fund']);
}

const builds = ['scripts/build.mjs', 'scripts/buildPlatform.mjs'];

/** Installs what is missing and builds the binaries; resolves with the first exit code that is not 0. */
export async function prepare() {
  let exitCode = await ensureInstalled();
  for (const script of builds) {
    if (exitCode === 0) {
      exitCode = await run(process.execPath, [script]);
    }
  }
  return exitCode;
}
