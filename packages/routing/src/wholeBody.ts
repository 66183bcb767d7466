/** Reads a backend server's answer into memory, so that only a whole one reaches the caller. */
import type { AnswerBody } from './backendApi';

export type BodyOutcome =
  | { kind: 'whole'; body: Buffer }
  /** More than may be held: the flow is paused, `start` has come so far. */
  | { kind: 'long'; start: Buffer; rest: AnswerBody }
  | { kind: 'lost'; detail: string };

/** A body of this length is held whole, so that a broken one can be asked for again. */
const defaultMaxBytes = 262_144;

export function readWholeBody(
  body: AnswerBody,
  maxBytes: number = defaultMaxBytes,
): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    body.read({
      onData(chunk) {
        parts.push(chunk);
        length += chunk.length;
        if (length > maxBytes) {
          body.pause();
          resolve({ kind: 'long', start: Buffer.concat(parts), rest: body });
        }
      },
      onEnd: () => resolve({ kind: 'whole', body: Buffer.concat(parts) }),
      onLost: (detail) => resolve({ kind: 'lost', detail }),
    });
  });
}

/** Reads what nobody needs, so that its connection can be used again. */
export function drainBody(body: AnswerBody): Promise<void> {
  return new Promise((resolve) => {
    body.read({ onData: () => undefined, onEnd: resolve, onLost: () => resolve() });
  });
}
