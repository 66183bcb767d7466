/** Writing of built files that other processes may read at any time. */
import { mkdir, rename, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';

const defaultMode = 0o644;

/**
 * Replaces a file atomically, so that a process that starts during a build never reads a partly written one. Node.js takes
 * an empty program for one that has ended: exit code 0, and no output.
 */
export async function replaceFile({ path, contents }, mode = defaultMode) {
  const temporaryPath = `${path}.${process.pid}`;
  await mkdir(dirname(path), { recursive: true });
  await writeFile(temporaryPath, contents, { mode });
  await rename(temporaryPath, path);
}
