/** Location of the repository, and the installation and builds that scripts need before they run. */
import { spawn } from 'node:child_process';
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const repositoryRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Runs a command with the standard streams of this process; resolves with its exit code. */
export function run(command, args) {
  return new Promise((resolve, reject) => {
    const child = spawn(command, args, { cwd: repositoryRoot, stdio: 'inherit' });
    child.once('error', reject);
    child.once('close', (code) => resolve(code ?? 1));
  });
}

/** Installs the locked dependencies if they are missing; resolves with the exit code of npm. */
export async function ensureInstalled() {
  // npm writes this file last, so an interrupted installation is repeated.
  if (existsSync(join(repositoryRoot, 'node_modules', '.package-lock.json'))) {
    return 0;
  }
  return run('npm', ['ci', '--no-audit', '--no-fund']);
}

const buildScripts = ['scripts/build.mjs', 'scripts/buildPlatform.mjs'];

/** Installs what is missing and builds the binaries; resolves with the first exit code that is not 0. */
export async function prepare() {
  let exitCode = await ensureInstalled();
  for (const script of buildScripts) {
    if (exitCode === 0) {
      exitCode = await run(process.execPath, [script]);
    }
  }
  return exitCode;
}
