/**
 * The response to one model request: an append-only log of events that any number of callers read, each
 * at its own speed. A slow reader therefore never keeps engine memory allocated, and requests with the
 * same idempotency key share one run. The request's output limit bounds the size of the log.
 */
import type { FinishReason } from '@bluebellhitch/protocol';
import { invariant, type Refusal } from '@bluebellhitch/shared';

export type ResponseEvent =
  | { kind: 'tokens'; text: string; tokenCount: number }
  | { kind: 'end'; finishReason: FinishReason; outputTokens: number }
  /** The request failed; if tokens precede this event, the response is incomplete. */
  | { kind: 'refused'; refusal: Refusal };

export interface ResponseLog {
  append(event: ResponseEvent): void;
  /** Reads all events from the first; ends after `end` or `refused`, or when `signal` aborts. */
  read(signal?: AbortSignal): AsyncIterable<ResponseEvent>;
  /** Whether the last event has been appended. */
  isClosed(): boolean;
}

export function createResponseLog(): ResponseLog {
  const events: ResponseEvent[] = [];
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

  async function* read(signal?: AbortSignal): AsyncGenerator<ResponseEvent> {
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
      invariant(!closed, 'cannot append to a closed response log');
      closed = event.kind !== 'tokens';
      events.push(event);
      wakeReaders();
    },
    read,
    isClosed: () => closed,
  };
}
