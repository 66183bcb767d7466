/**
 * Reads response bodies of backend servers. A faulty server may send bytes without an end: a body that is not passed on
 * as it arrives is read within limits, and beyond them its connection is closed.
 */
import { createBodyBuffer } from '@bluebellhitch/ports';
import { startPauseTolerantTimer } from '@bluebellhitch/shared';
import type { ResponseBody } from '../backendApi';

export type ResponseBodyOutcome =
  | { kind: 'whole'; body: Buffer }
  /** The body exceeds the size limit: the flow is paused, and `start` has been received so far. */
  | { kind: 'long'; start: Buffer[]; rest: ResponseBody }
  | { kind: 'lost'; detail: string };

export interface BodyLimits {
  maxBytes: number;
  /** For the whole body. */
  timeoutMs: number;
}

/** Bodies up to this size are buffered completely, so that the request can be retried if the body is truncated. */
const defaultMaxBytes = 262_144;
/** For responses to the router's own calls, and for failures, which are short. */
const smallBodyLimits: BodyLimits = { maxBytes: defaultMaxBytes, timeoutMs: 1_000 };
/** The next attempt at a request may wait for it, and opening a connection costs less. */
const drainLimits: BodyLimits = { maxBytes: 65_536, timeoutMs: 250 };

/** Reads the body up to `maxBytes`; a longer one has to be read on from `rest`. */
export function readWholeBody(
  body: ResponseBody,
  maxBytes: number = defaultMaxBytes,
): Promise<ResponseBodyOutcome> {
  return new Promise((resolve) => {
    const buffer = createBodyBuffer();
    body.read({
      onData(chunk) {
        buffer.append(chunk);
        if (buffer.length() > maxBytes) {
          body.pause();
          resolve({ kind: 'long', start: buffer.takeParts(), rest: body });
        } else {
          body.noteKept?.(buffer.length());
        }
      },
      onEnd: () => resolve({ kind: 'whole', body: buffer.take() }),
      onLost: (detail) => resolve({ kind: 'lost', detail }),
    });
  });
}

/** Reads a body that is lost if it exceeds the limits. */
export function readSmallBody(
  body: ResponseBody,
  limits: BodyLimits = smallBodyLimits,
): Promise<Exclude<ResponseBodyOutcome, { kind: 'long' }>> {
  return new Promise((resolve) => {
    const buffer = createBodyBuffer();
    readWithin(body, limits, {
      onData(chunk) {
        buffer.append(chunk);
        body.noteKept?.(buffer.length());
      },
      onEnd: () => resolve({ kind: 'whole', body: buffer.take() }),
      onLost: (detail) => resolve({ kind: 'lost', detail }),
    });
  });
}

/** Reads and discards a body, so that its connection can be reused. Resolves also if the body is lost or too long. */
export function drainBody(body: ResponseBody): Promise<void> {
  return new Promise((resolve) => {
    readWithin(body, drainLimits, {
      onData: () => undefined,
      onEnd: resolve,
      onLost: () => resolve(),
    });
  });
}

function readWithin(
  body: ResponseBody,
  { maxBytes, timeoutMs }: BodyLimits,
  reader: Parameters<ResponseBody['read']>[0],
): void {
  let length = 0;
  const timer = startPauseTolerantTimer(timeoutMs, () => body.abandon('answer without an end'));
  body.read({
    onData(chunk) {
      length += chunk.length;
      if (length > maxBytes) {
        body.abandon('answer too long');
      } else {
        reader.onData(chunk);
      }
    },
    onEnd() {
      timer.stop();
      reader.onEnd();
    },
    onLost(detail) {
      timer.stop();
      reader.onLost(detail);
    },
  });
}
