/**
 * A caller's request body on its way to a backend server. What has been read is kept up to a bound, so
 * that another attempt can send it again from the start.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

export interface ReplayBodyOptions {
  incoming: IncomingMessage;
  /** Bytes kept for another attempt. */
  maxReplayBytes: number;
  /** Bytes that the body may have. */
  maxBytes: number;
  /** Longest pause of the sender. */
  idleTimeoutMs: number;
}

export type BodyFault =
  { kind: 'too-large'; maxBytes: number } | { kind: 'timeout'; timeoutMs: number };

export interface ReplayBody {
  /** A new stream from the body's start; the stream of an earlier attempt must have ended. */
  open(): Readable;
  /** Whether the whole body so far is kept. */
  canReplay(): boolean;
  /** What was wrong with the caller's body, once a stream has failed for it. */
  fault(): BodyFault | undefined;
}

/** Whether the request has a body at all. */
export function hasBody(incoming: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = incoming.headers;
  return encoding !== undefined || (length !== undefined && Number(length) > 0);
}

/** Creates the body of one request. */
export function createReplayBody(options: ReplayBodyOptions): ReplayBody {
  const { incoming, maxReplayBytes, maxBytes, idleTimeoutMs } = options;
  const source = incoming[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  /** Chunks read and not dropped yet, `dropped` ones before them. */
  let kept: Buffer[] = [];
  let dropped = 0;
  let readBytes = 0;
  let ended = false;
  let fault: BodyFault | undefined;
  let pulling: Promise<void> | undefined;

  const isReplayable = () => readBytes <= maxReplayBytes;

  async function pullOnce(): Promise<void> {
    const next = await withTimeout(source.next(), idleTimeoutMs);
    if (next === undefined) {
      fault = { kind: 'timeout', timeoutMs: idleTimeoutMs };
    } else if (next.done) {
      ended = true;
    } else {
      readBytes += next.value.length;
      kept.push(next.value);
      if (readBytes > maxBytes) {
        fault = { kind: 'too-large', maxBytes };
      }
    }
  }

  /** An abandoned attempt may still wait for a chunk that the next attempt needs as well. */
  function pull(): Promise<void> {
    pulling ??= pullOnce().finally(() => {
      pulling = undefined;
    });
    return pulling;
  }

  function dropUpTo(position: number): void {
    if (!isReplayable()) {
      kept = kept.slice(position - dropped);
      dropped = position;
    }
  }

  async function* stream(): AsyncGenerator<Buffer> {
    let position = 0;
    while (fault === undefined) {
      const chunk = kept[position - dropped];
      if (chunk !== undefined) {
        position += 1;
        yield chunk;
        dropUpTo(position);
      } else if (ended) {
        return;
      } else {
        await pull();
      }
    }
    throw new Error(`the request body failed: ${fault.kind}`);
  }

  return {
    open: () => Readable.from(stream(), { objectMode: false }),
    canReplay: () => dropped === 0 && isReplayable(),
    fault: () => fault,
  };
}

async function withTimeout<Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  return Promise.race([promise, timeout]).finally(() => clearTimeout(timer));
}
