/**
 * Reads complete request bodies within limits: the size and time of each body, and the memory of all bodies together. What is
 * counted is what is held: a body that is refused or released is dropped, and bytes of it that still arrive are discarded
 * without being counted.
 */
import type { IncomingMessage } from 'node:http';
import { monotonicNowMs, startPauseTolerantTimer } from '@bluebellhitch/shared';
import { createBodyBuffer } from './bodyBuffer';
import type { MemoryAccount } from './memoryAccount';

export type RequestBodyOutcome =
  | { kind: 'whole'; body: Buffer }
  | { kind: 'too-large' }
  /** There is no memory for it. */
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
  /** Takes memory for bytes of a body that is read elsewhere; false if there is none. Negative to give it back. */
  takeMemory(bytes: number): boolean;
  /** Size of all bodies in memory. */
  heldBytes(): number;
}

/** A body that is not complete. */
interface ArrivingBody {
  startedAtMs: number;
  length(): number;
  refuse(): void;
}

/** A body whose caller sends less than this, after a first second, gives its memory to others that need it. */
const slowBytesPerMs = 64;
const minSlowAgeMs = 1_000;

export function createBodyReaderPool(
  memory: Pick<MemoryAccount, 'takeForBody' | 'bodyBytes'>,
): BodyReaderPool {
  const arriving = new Set<ArrivingBody>();

  /** Takes memory, if need be that of bodies whose callers hardly send. */
  function take(bytes: number, needing: ArrivingBody): boolean {
    if (memory.takeForBody(bytes)) {
      return true;
    }
    const slow = [...arriving].filter((body) => body !== needing && isSlow(body));
    return slow.some((body) => takeFrom(body, bytes));
  }

  function takeFrom(body: ArrivingBody, bytes: number): boolean {
    body.refuse();
    return memory.takeForBody(bytes);
  }

  function read(incoming: IncomingMessage, { maxBodyBytes, timeoutMs }: RequestBodyLimits) {
    const buffer = createBodyBuffer();
    let heldBytes = 0;
    let isOver = false;
    let resolveDone: (outcome: RequestBodyOutcome) => void = () => undefined;
    const done = new Promise<RequestBodyOutcome>((resolve) => {
      resolveDone = resolve;
    });
    const timer = startPauseTolerantTimer(timeoutMs, () => finish({ kind: 'overdue' }));
    const self: ArrivingBody = {
      startedAtMs: monotonicNowMs(),
      length: buffer.length,
      refuse: () => finish({ kind: 'no-memory' }),
    };
    arriving.add(self);

    function drop(): void {
      memory.takeForBody(-heldBytes);
      heldBytes = 0;
    }

    function finish(outcome: RequestBodyOutcome): void {
      if (isOver) {
        return;
      }
      isOver = true;
      timer.stop();
      arriving.delete(self);
      if (outcome.kind !== 'whole') {
        buffer.clear();
        drop();
      }
      resolveDone(outcome);
    }

    function hold(chunk: Buffer): void {
      if (buffer.length() + chunk.length > maxBodyBytes) {
        finish({ kind: 'too-large' });
        return;
      }
      if (take(chunk.length, self)) {
        heldBytes += chunk.length;
        buffer.append(chunk);
      } else {
        finish({ kind: 'no-memory' });
      }
    }

    incoming.on('data', (chunk: Buffer) => {
      if (!isOver) {
        hold(chunk);
      }
    });
    incoming.once('end', () => {
      if (!isOver) {
        finish({ kind: 'whole', body: buffer.take() });
      }
    });
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

  return { read, takeMemory: memory.takeForBody, heldBytes: memory.bodyBytes };
}

function isSlow({ startedAtMs, length }: ArrivingBody): boolean {
  const ageMs = monotonicNowMs() - startedAtMs;
  return ageMs >= minSlowAgeMs && length() < ageMs * slowBytesPerMs;
}
