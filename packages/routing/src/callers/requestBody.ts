/**
 * Reads complete request bodies within limits: the size and time of each body, and the size of all bodies in memory
 * together. What is counted is what is held: a body that is refused or released is dropped, and bytes of it that still
 * arrive are discarded without being counted.
 */
import type { IncomingMessage } from 'node:http';
import { startPauseTolerantTimer } from '@bluebellhitch/shared';

export type RequestBodyOutcome =
  | { kind: 'whole'; body: Buffer }
  | { kind: 'too-large' }
  /** The limit for all bodies in memory is reached. */
  | { kind: 'no-memory' }
  /** The body was not complete in time. */
  | { kind: 'overdue' }
  | { kind: 'caller-left' };

export interface RequestBodyLimits {
  maxBodyBytes: number;
  timeoutMs: number;
}

export interface BodyReaderPool {
  /** `release` must be called once the body is no longer needed, whatever the outcome. */
  read(
    incoming: IncomingMessage,
    limits: RequestBodyLimits,
  ): { done: Promise<RequestBodyOutcome>; release(): void };
  /** Size of all bodies in memory. */
  heldBytes(): number;
}

export function createBodyReaderPool(maxHeldBytes: number): BodyReaderPool {
  let allHeldBytes = 0;

  function read(incoming: IncomingMessage, { maxBodyBytes, timeoutMs }: RequestBodyLimits) {
    let chunks: Buffer[] = [];
    let heldBytes = 0;
    let isOver = false;
    let resolveDone: (outcome: RequestBodyOutcome) => void = () => undefined;
    const done = new Promise<RequestBodyOutcome>((resolve) => {
      resolveDone = resolve;
    });
    const timer = startPauseTolerantTimer(timeoutMs, () => finish({ kind: 'overdue' }));

    function drop(): void {
      allHeldBytes -= heldBytes;
      heldBytes = 0;
    }

    function finish(outcome: RequestBodyOutcome): void {
      if (isOver) {
        return;
      }
      isOver = true;
      timer.stop();
      chunks = [];
      if (outcome.kind !== 'whole') {
        drop();
      }
      resolveDone(outcome);
    }

    function hold(chunk: Buffer): void {
      chunks.push(chunk);
      heldBytes += chunk.length;
      allHeldBytes += chunk.length;
      if (heldBytes > maxBodyBytes) {
        finish({ kind: 'too-large' });
      } else if (allHeldBytes > maxHeldBytes) {
        finish({ kind: 'no-memory' });
      }
    }

    incoming.on('data', (chunk: Buffer) => {
      if (!isOver) {
        hold(chunk);
      }
    });
    incoming.once('end', () => finish({ kind: 'whole', body: Buffer.concat(chunks) }));
    incoming.once('close', () => finish({ kind: 'caller-left' }));
    incoming.once('error', () => finish({ kind: 'caller-left' }));
    return {
      done,
      release() {
        finish({ kind: 'caller-left' });
        drop();
      },
    };
  }

  return { read, heldBytes: () => allHeldBytes };
}
