/**
 * The answer of one model request: an append-only log of events that any number of callers read, each
 * at its own speed. A slow reader thus never holds engine memory, and requests with the same
 * idempotency key share one run. Its size is bounded by the request's output limit.
 */
import type { FinishReason } from '@bluebellhitch/protocol';
import { invariant, type Refusal } from '@bluebellhitch/shared';

export type AnswerEvent =
  | { kind: 'tokens'; text: string; tokenCount: number }
  | { kind: 'end'; finishReason: FinishReason; outputTokens: number }
  /** The request failed; where tokens came before it, the answer is incomplete. */
  | { kind: 'refused'; refusal: Refusal };

export interface AnswerLog {
  append(event: AnswerEvent): void;
  /** All events from the first one; ends after `end` or `refused`, or when `signal` aborts. */
  read(signal?: AbortSignal): AsyncIterable<AnswerEvent>;
  /** Whether the last event has been appended. */
  isClosed(): boolean;
}

/** Creates an empty log. */
export function createAnswerLog(): AnswerLog {
  const events: AnswerEvent[] = [];
  const waiters = new Set<() => void>();
  let closed = false;

  function wakeReaders(): void {
    const woken = [...waiters];
    waiters.clear();
    woken.forEach((wake) => wake());
  }

  function waitForMore(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        waiters.delete(wake);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      waiters.add(wake);
      signal?.addEventListener('abort', wake);
    });
  }

  async function* read(signal?: AbortSignal): AsyncGenerator<AnswerEvent> {
    let position = 0;
    while (!signal?.aborted) {
      const event = events[position];
      if (event !== undefined) {
        position += 1;
        yield event;
      } else if (closed) {
        return;
      } else {
        await waitForMore(signal);
      }
    }
  }

  return {
    append(event) {
      invariant(!closed, 'an answer has one last event');
      closed = event.kind !== 'tokens';
      events.push(event);
      wakeReaders();
    },
    read,
    isClosed: () => closed,
  };
}
