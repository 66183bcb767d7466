/**
 * Reads whole bodies of responses to this process's own calls within limits. A faulty server may send bytes without an end:
 * a body that exceeds a limit is given up, and its connection is closed.
 */
import { err, ok, type Result } from 'neverthrow';
import { createBodyBuffer, type BodyBuffer } from './bodyBuffer';

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
  /** For all bodies that are being read at the same time; beyond it the longest one is given up. */
  maxTotalBytes: number;
}

/** A body that is being read. */
interface Reading {
  buffer: BodyBuffer;
  heldBytes: number;
  isGivenUp: boolean;
}

export function createResponseReader(options: ResponseReaderOptions): ResponseReader {
  const { maxTotalBytes } = options;
  const tooLongTogether = tooLong(`answers are longer than ${maxTotalBytes} bytes together`);
  const readings = new Set<Reading>();
  let totalBytes = 0;

  function keep(reading: Reading, part: Buffer): void {
    reading.buffer.append(part);
    reading.heldBytes += part.length;
    totalBytes += part.length;
    while (totalBytes > maxTotalBytes) {
      giveUpLongest();
    }
  }

  function release(reading: Reading): void {
    totalBytes -= reading.heldBytes;
    reading.heldBytes = 0;
  }

  /** Its connection closes as its next part arrives, or as the call ends. */
  function giveUpLongest(): void {
    const longest = [...readings].reduce((found, reading) =>
      reading.heldBytes > found.heldBytes ? reading : found,
    );
    longest.isGivenUp = true;
    longest.buffer.clear();
    release(longest);
  }

  async function readInto(
    reading: Reading,
    body: AsyncIterable<Uint8Array>,
    maxBytes: number,
  ): Promise<Result<Buffer, ResponseBodyError>> {
    for await (const part of body) {
      if (!reading.isGivenUp) {
        keep(reading, toBuffer(part));
      }
      // Leaving the loop ends the body, which closes its connection.
      if (reading.isGivenUp) {
        return err(tooLongTogether);
      }
      if (reading.heldBytes > maxBytes) {
        return err(tooLong(`the answer is longer than ${maxBytes} bytes`));
      }
    }
    return reading.isGivenUp ? err(tooLongTogether) : ok(reading.buffer.take());
  }

  return {
    async read(body, maxBytes = options.maxBytes) {
      const reading: Reading = { buffer: createBodyBuffer(), heldBytes: 0, isGivenUp: false };
      readings.add(reading);
      try {
        return await readInto(reading, body, maxBytes);
      } catch (cause) {
        return err({ kind: 'lost', cause });
      } finally {
        readings.delete(reading);
        release(reading);
      }
    },
  };
}

function tooLong(detail: string): ResponseBodyError {
  return { kind: 'too-long', detail };
}

function toBuffer(part: Uint8Array): Buffer {
  return Buffer.isBuffer(part) ? part : Buffer.from(part.buffer, part.byteOffset, part.byteLength);
}
