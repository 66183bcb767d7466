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
  /** Takes memory from that of all bodies; false if there is none. Negative to give it back. Default: there always is. */
  takeMemory?: (bytes: number) => boolean;
}

export type BodyFault =
  | { kind: 'too-large'; maxBytes: number }
  | { kind: 'timeout'; timeoutMs: number }
  | { kind: 'no-memory' };

export interface ReplayBody {
  /** Opens a new stream from the body's start; the stream of an earlier attempt must have ended. */
  open(): Readable;
  /** Whether all bytes read so far are still buffered. */
  canReplay(): boolean;
  /** Why the caller's body could not be read, once a stream has failed for that reason. */
  fault(): BodyFault | undefined;
  /** Gives back the memory that is counted for the body; to be called once it is no longer needed. */
  release(): void;
}

export function hasBody(incoming: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = incoming.headers;
  return encoding !== undefined || (length !== undefined && Number(length) > 0);
}

export function createReplayBody(options: ReplayBodyOptions): ReplayBody {
  const { incoming, maxReplayBytes, maxBytes, idleTimeoutMs, takeMemory = () => true } = options;
  /** Bytes that were read and not dropped, in one piece: a caller may send them one by one. */
  let kept = createKeptBytes();
  let droppedBytes = 0;
  let readBytes = 0;
  let countedBytes = 0;
  let ended = false;
  let lost = false;
  let fault: BodyFault | undefined;
  let pulling: Promise<void> | undefined;
  let wake: () => void = () => undefined;

  const isReplayable = () => readBytes <= maxReplayBytes;

  /** Reads on, and resolves once something has happened; what arrives is taken at once, as the runtime holds it part by part. */
  async function readOn(): Promise<void> {
    const happened = new Promise<true>((resolve) => {
      wake = () => resolve(true);
    });
    incoming.resume();
    if ((await withTimeout(happened, idleTimeoutMs)) === undefined) {
      fault = { kind: 'timeout', timeoutMs: idleTimeoutMs };
    }
  }

  incoming.on('data', (chunk: Buffer) => {
    keep(chunk);
    if (kept.length() >= windowBytes || fault !== undefined) {
      incoming.pause();
    }
    wake();
  });
  incoming.once('end', () => {
    ended = true;
    wake();
  });
  incoming.once('close', () => {
    lost = !ended;
    wake();
  });
  incoming.on('error', () => wake());
  incoming.pause();

  function keep(chunk: Buffer): void {
    readBytes += chunk.length;
    if (readBytes > maxBytes) {
      fault = { kind: 'too-large', maxBytes };
    } else if (takeMemory(chunk.length)) {
      countedBytes += chunk.length;
      kept.append(chunk);
    } else {
      fault = { kind: 'no-memory' };
    }
  }

  /** Shares one pending read, as an abandoned attempt may still wait for the bytes that the next attempt needs. */
  function pull(): Promise<void> {
    pulling ??= readOn().finally(() => {
      pulling = undefined;
    });
    return pulling;
  }

  function giveBack(bytes: number): void {
    takeMemory(-bytes);
    countedBytes -= bytes;
  }

  function dropUpTo(position: number): void {
    if (!isReplayable() && position > droppedBytes) {
      const rest = kept.from(position - droppedBytes);
      giveBack(Math.min(countedBytes, position - droppedBytes));
      kept = createKeptBytes();
      kept.append(rest);
      droppedBytes = position;
    }
  }

  async function* stream(): AsyncGenerator<Buffer> {
    let position = 0;
    while (fault === undefined) {
      const bytes = kept.from(position - droppedBytes);
      if (bytes.length > 0) {
        position += bytes.length;
        yield bytes;
        dropUpTo(position);
      } else if (ended) {
        return;
      } else if (lost) {
        throw new Error('the caller has left');
      } else {
        await pull();
      }
    }
    throw new Error(`the request body failed: ${fault.kind}`);
  }

  return {
    open: () => Readable.from(stream(), { objectMode: false }),
    canReplay: () => droppedBytes === 0 && isReplayable(),
    fault: () => fault,
    release: () => giveBack(countedBytes),
  };
}

const minCapacityBytes = 1_024;
/** Bytes that are read ahead of the attempt that sends them. */
const windowBytes = 65_536;

/** Bytes in one piece that grows; pieces of it that were handed out do not change. */
function createKeptBytes() {
  let store = Buffer.alloc(0);
  let length = 0;
  return {
    append(chunk: Buffer): void {
      if (length + chunk.length > store.length) {
        const capacity = Math.max(minCapacityBytes, 2 * length, length + chunk.length);
        const larger = Buffer.allocUnsafeSlow(capacity);
        store.copy(larger, 0, 0, length);
        store = larger;
      }
      length += chunk.copy(store, length);
    },
    length: () => length,
    from: (position: number) => store.subarray(Math.min(position, length), length),
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
