/** Reads callers' bodies whole, within a bound for each and one for all that are held together. */
import type { IncomingMessage } from 'node:http';

export type BodyRead =
  | { kind: 'whole'; body: Buffer }
  | { kind: 'too-large' }
  /** The process holds as much as it may. */
  | { kind: 'no-memory' }
  | { kind: 'caller-left' };

export interface BodyReaderPool {
  /** Call `release` once the body is no longer needed, whatever the outcome. */
  read(
    incoming: IncomingMessage,
    maxBodyBytes: number,
  ): { done: Promise<BodyRead>; release(): void };
}

export function createBodyReaderPool(maxHeldBytes: number): BodyReaderPool {
  let heldBytes = 0;

  function read(incoming: IncomingMessage, maxBodyBytes: number) {
    const parts: Buffer[] = [];
    let length = 0;
    const done = new Promise<BodyRead>((resolve) => {
      incoming.on('data', (part: Buffer) => {
        parts.push(part);
        length += part.length;
        heldBytes += part.length;
        if (length > maxBodyBytes) {
          resolve({ kind: 'too-large' });
        } else if (heldBytes > maxHeldBytes) {
          resolve({ kind: 'no-memory' });
        }
      });
      incoming.once('end', () => resolve({ kind: 'whole', body: Buffer.concat(parts) }));
      incoming.once('close', () => resolve({ kind: 'caller-left' }));
      incoming.once('error', () => resolve({ kind: 'caller-left' }));
    });
    return {
      done,
      release() {
        heldBytes -= length;
        length = 0;
        parts.length = 0;
      },
    };
  }

  return { read };
}
