/**
 * Reads whole bodies of responses to this process's own calls within limits. A faulty server may send bytes without an end:
 * a body that exceeds a limit is given up, and its connection is closed.
 */
import { err, ok, type Result } from 'neverthrow';
import { createBodyBuffer } from './bodyBuffer';

export interface ResponseReader {
  /** `maxBytes` replaces the reader's own limit for this body. */
  read(
    body: AsyncIterable<Uint8Array>,
    maxBytes?: number,
  ): Promise<Result<Buffer, ResponseBodyError>>;
}

export type ResponseBodyError =
  | { kind: 'too-long'; detail: string }
  /** The connection ended or the call was aborted; `cause` is what the body threw. */
  | { kind: 'lost'; cause: unknown };

export interface ResponseReaderOptions {
  /** For one body. */
  maxBytes: number;
  /** For all bodies that are being read at the same time. */
  maxTotalBytes: number;
}

export function createResponseReader(options: ResponseReaderOptions): ResponseReader {
  const { maxTotalBytes } = options;
  let totalBytes = 0;

  function exceededLimit(length: number, maxBytes: number): ResponseBodyError | undefined {
    if (length > maxBytes) {
      return { kind: 'too-long', detail: `the answer is longer than ${maxBytes} bytes` };
    }
    return totalBytes > maxTotalBytes
      ? { kind: 'too-long', detail: `answers are longer than ${maxTotalBytes} bytes together` }
      : undefined;
  }

  async function read(
    body: AsyncIterable<Uint8Array>,
    maxBytes = options.maxBytes,
  ): Promise<Result<Buffer, ResponseBodyError>> {
    const buffer = createBodyBuffer();
    try {
      for await (const part of body) {
        buffer.append(toBuffer(part));
        totalBytes += part.length;
        const error = exceededLimit(buffer.length(), maxBytes);
        if (error !== undefined) {
          // Leaving the loop ends the body, which closes its connection.
          return err(error);
        }
      }
      return ok(buffer.take());
    } catch (cause) {
      return err({ kind: 'lost', cause });
    } finally {
      totalBytes -= buffer.length();
    }
  }

  return { read };
}

function toBuffer(part: Uint8Array): Buffer {
  return Buffer.isBuffer(part) ? part : Buffer.from(part.buffer, part.byteOffset, part.byteLength);
}
