/** Reads a backend server's answer into memory, so that only a whole one reaches the caller. */
import type { AnswerBody } from './backendApi';

export type BodyOutcome = { kind: 'whole'; body: Buffer } | { kind: 'lost'; detail: string };

export function readWholeBody(body: AnswerBody): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    body.read({
      onData: (chunk) => parts.push(chunk),
      onEnd: () => resolve({ kind: 'whole', body: Buffer.concat(parts) }),
      onLost: (detail) => resolve({ kind: 'lost', detail }),
    });
  });
}
