/** Reads a response body of a backend server into memory, so that only a complete one is sent to the caller. */
import type { ResponseBody } from './backendApi';

export type ResponseBodyOutcome =
  | { kind: 'whole'; body: Buffer }
  /** The body exceeds the size limit: the flow is paused, and `start` has been received so far. */
  | { kind: 'long'; start: Buffer; rest: ResponseBody }
  | { kind: 'lost'; detail: string };

/** Bodies up to this size are buffered completely, so that the request can be retried if the body is truncated. */
const defaultMaxBytes = 262_144;

/** Reads the body up to `maxBytes`; a longer one has to be read on from `rest`. */
export function readWholeBody(
  body: ResponseBody,
  maxBytes: number = defaultMaxBytes,
): Promise<ResponseBodyOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    body.read({
      onData(chunk) {
        chunks.push(chunk);
        length += chunk.length;
        if (length > maxBytes) {
          body.pause();
          resolve({ kind: 'long', start: Buffer.concat(chunks), rest: body });
        }
      },
      onEnd: () => resolve({ kind: 'whole', body: Buffer.concat(chunks) }),
      onLost: (detail) => resolve({ kind: 'lost', detail }),
    });
  });
}

/** Reads and discards a body, so that its connection can be reused. Resolves also if the body is lost. */
export function drainBody(body: ResponseBody): Promise<void> {
  return new Promise((resolve) => {
    body.read({ onData: () => undefined, onEnd: resolve, onLost: () => resolve() });
  });
}
