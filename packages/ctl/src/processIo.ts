/** I/O of the `bluebellctl` process: standard streams, files and network. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { createResponseReader, type ResponseReader } from '@bluebellhitch/ports';
import { delay } from '@bluebellhitch/shared';
import { colourStyles, plainStyles, type AdminError, type CtlIo } from './ctlIo';

export interface ProcessIoOptions {
  adminTimeoutMs?: number;
  /** Longest answer of an admin port. */
  maxAdminBytes?: number;
}

interface AdminAccess {
  reader: ResponseReader;
  adminTimeoutMs: number;
}

const defaults = { adminTimeoutMs: 2000, maxAdminBytes: 4_194_304 } as const;
/** For the answers of all processes that are asked at the same time. */
const maxTotalAdminBytes = 134_217_728;
const notFoundStatus = 404;

export function createProcessIo(options: ProcessIoOptions = {}): CtlIo {
  const { adminTimeoutMs, maxAdminBytes } = { ...defaults, ...options };
  const limits = { maxBytes: maxAdminBytes, maxTotalBytes: maxTotalAdminBytes };
  const access: AdminAccess = { reader: createResponseReader(limits), adminTimeoutMs };
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
    readAdmin: (address, path) => readAdmin(access, address, path),
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

async function readAdmin(
  { reader, adminTimeoutMs }: AdminAccess,
  address: string,
  path: string,
): Promise<Result<unknown, AdminError>> {
  try {
    const response = await request(new URL(path, address), {
      signal: AbortSignal.timeout(adminTimeoutMs),
    });
    if (response.statusCode === notFoundStatus) {
      await response.body.dump();
      return err({ kind: 'not-found' });
    }
    const body = await reader.read(response.body);
    if (body.isErr()) {
      const { error } = body;
      const detail = error.kind === 'too-long' ? error.detail : messageOf(error.cause);
      return err({ kind: 'unreachable', detail });
    }
    return ok(JSON.parse(body.value.toString()));
  } catch (cause) {
    return err({ kind: 'unreachable', detail: messageOf(cause) });
  }
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
