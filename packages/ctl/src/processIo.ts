/** I/O of the `bluebellctl` process: standard streams, files and network. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { delay } from '@bluebellhitch/shared';
import { colourStyles, plainStyles, type AdminError, type CtlIo } from './ctlIo';

const adminTimeoutMs = 2000;
const notFoundStatus = 404;

export function createProcessIo(): CtlIo {
  const usesColours = process.stdout.isTTY === true && process.env.NO_COLOR === undefined;
  return {
    json: false,
    styles: usesColours ? colourStyles : plainStyles,
    writeOutput: (output) => {
      process.stdout.write(output);
    },
    writeError: (output) => {
      process.stderr.write(output);
    },
    readFile: readTextFile,
    readAdmin,
    delay,
  };
}

async function readTextFile(path: string): Promise<Result<string, string>> {
  try {
    return ok(path === '-' ? await text(process.stdin) : await readFile(path, 'utf8'));
  } catch (cause) {
    return err(messageOf(cause));
  }
}

async function readAdmin(address: string, path: string): Promise<Result<unknown, AdminError>> {
  try {
    const response = await request(new URL(path, address), {
      signal: AbortSignal.timeout(adminTimeoutMs),
    });
    if (response.statusCode === notFoundStatus) {
      await response.body.dump();
      return err({ kind: 'not-found' });
    }
    return ok(await response.body.json());
  } catch (cause) {
    return err({ kind: 'unreachable', detail: messageOf(cause) });
  }
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
