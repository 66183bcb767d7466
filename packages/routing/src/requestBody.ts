/** Reads complete request bodies, with a size limit for each body and one for all bodies in memory together. */
import type { IncomingMessage } from 'node:http';

export type RequestBodyOutcome =
  | { kind: 'whole'; body: Buffer }
  | { kind: 'too-large' }
  /** The limit for all bodies in memory is reached. */
  | { kind: 'no-memory' }
  | { kind: 'caller-left' };

export interface BodyReaderPool {
  /** `release` must be called once the body is no longer needed, whatever the outcome. */
  read(
    incoming: IncomingMessage,
    maxBodyBytes: number,
  ): { done: Promise<RequestBodyOutcome>; release(): void };
}

export function createBodyReaderPool(maxBufferedBytes: number): BodyReaderPool {
  let bufferedBytes = 0;

  function read(incoming: IncomingMessage, maxBodyBytes: number) {
    const chunks: Buffer[] = [];
    let length = 0;
    const done = new Promise<RequestBodyOutcome>((resolve) => {
      incoming.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        length += chunk.length;
        bufferedBytes += chunk.length;
        if (length > maxBodyBytes) {
          resolve({ kind: 'too-large' });
        } else if (bufferedBytes > maxBufferedBytes) {
          resolve({ kind: 'no-memory' });
        }
      });
      incoming.once('end', () => resolve({ kind: 'whole', body: Buffer.concat(chunks) }));
      incoming.once('close', () => resolve({ kind: 'caller-left' }));
      incoming.once('error', () => resolve({ kind: 'caller-left' }));
    });
    return {
      done,
      release() {
        bufferedBytes -= length;
        length = 0;
        chunks.length = 0;
      },
    };
  }

  return { read };
}
