/**
 * Body of a caller's request that is streamed to a backend server. Up to a limit, the bytes read so far are
 * buffered, so that another attempt can send the body again from the start.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

export interface ReplayBodyOptions {
  incoming: IncomingMessage;
  /** Bytes buffered for another attempt. */
  maxReplayBytes: number;
  /** Largest size of the body. */
  maxBytes: number;
  /** Longest pause of the sender. */
  idleTimeoutMs: number;
}

export type BodyFault =
  { kind: 'too-large'; maxBytes: number } | { kind: 'timeout'; timeoutMs: number };

export interface ReplayBody {
  /** Opens a new stream from the body's start; the stream of an earlier attempt must have ended. */
  open(): Readable;
  /** Whether all bytes read so far are still buffered. */
  canReplay(): boolean;
  /** Why the caller's body could not be read, once a stream has failed for that reason. */
  fault(): BodyFault | undefined;
}

export function hasBody(incoming: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = incoming.headers;
  return encoding !== undefined || (length !== undefined && Number(length) > 0);
}

export function createReplayBody(options: ReplayBodyOptions): ReplayBody {
  const { incoming, maxReplayBytes, maxBytes, idleTimeoutMs } = options;
  const source = incoming[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  /** Chunks that were read and not dropped; `droppedCount` chunks preceded them. */
  let kept: Buffer[] = [];
  let droppedCount = 0;
  let readBytes = 0;
  let ended = false;
  let fault: BodyFault | undefined;
  let pulling: Promise<void> | undefined;

  const isReplayable = () => readBytes <= maxReplayBytes;

  async function readNextChunk(): Promise<void> {
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

  /** Shares one pending read, as an abandoned attempt may still wait for the chunk that the next attempt needs. */
  function pull(): Promise<void> {
    pulling ??= readNextChunk().finally(() => {
      pulling = undefined;
    });
    return pulling;
  }

  function dropUpTo(position: number): void {
    if (!isReplayable()) {
      kept = kept.slice(position - droppedCount);
      droppedCount = position;
    }
  }

  async function* stream(): AsyncGenerator<Buffer> {
    let position = 0;
    while (fault === undefined) {
      const chunk = kept[position - droppedCount];
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
    canReplay: () => droppedCount === 0 && isReplayable(),
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
