/**
 * Keeps a copy of the objects of one kind: lists them once, then watches. Each watch is short, so that a
 * connection that went silent is noticed before a change can be late.
 */
import type { Result } from 'neverthrow';
import type {
  ObjectApi,
  ObjectKind,
  PlatformError,
  StoredObject,
  WatchEvent,
} from '@bluebellhitch/objects';
import {
  createBackgroundLoop,
  delay,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';

export interface ObjectFollowerOptions {
  store: ObjectApi;
  kind: ObjectKind;
  /** Longest time of one watch. */
  watchWaitMs: number;
  /** The whole list, at the start and when the store has dropped its history. */
  onListed(objects: readonly StoredObject[]): void;
  onEvent(event: WatchEvent): void;
  /** The store stopped answering. */
  onLost(error: PlatformError): void;
  /** The store answers again, or for the first time. */
  onBack(): void;
  random?: Random;
  firstRetryMs?: number;
  retryLimitMs?: number;
}

/** Short against the bounds for changes, which hold seconds after the store is back. */
const defaultFirstRetryMs = 100;
const defaultRetryLimitMs = 500;
const shortestWaitMs = 1;

export function createObjectFollower(options: ObjectFollowerOptions): BackgroundLoop {
  const { store, kind, watchWaitMs, random = Math.random } = options;
  const { firstRetryMs = defaultFirstRetryMs, retryLimitMs = defaultRetryLimitMs } = options;
  let isBack = false;

  async function step(
    cursor: string | undefined,
    signal: AbortSignal,
  ): Promise<Result<string | undefined, PlatformError>> {
    if (cursor === undefined) {
      const listed = await store.list(kind);
      noteAnswer(listed, signal);
      return listed.map(({ objects, cursor: from }) => {
        options.onListed(objects);
        return from;
      });
    }
    // After an outage the first watch does not wait: its answer tells that the store is back, and what is
    // held back for the outage must not be held for the length of a watch longer.
    const waitMs = isBack ? watchWaitMs : shortestWaitMs;
    const reply = await store.watch(kind, cursor, waitMs, signal);
    noteAnswer(reply, signal);
    return reply.map(({ events, cursor: next, compacted }) => {
      events.forEach(options.onEvent);
      return compacted ? undefined : next;
    });
  }

  /** Before the answer is applied: a removal in it counts differently right after an outage. */
  function noteAnswer(answer: Result<unknown, PlatformError>, signal: AbortSignal): void {
    if (answer.isOk()) {
      if (!isBack) {
        isBack = true;
        options.onBack();
      }
    } else if (isBack && !signal.aborted) {
      isBack = false;
      options.onLost(answer.error);
    }
  }

  async function run(signal: AbortSignal): Promise<void> {
    let cursor: string | undefined;
    let failures = 0;
    while (!signal.aborted) {
      const next = await step(cursor, signal);
      if (next.isOk()) {
        cursor = next.value;
        failures = 0;
      } else {
        await delay(pauseMs(failures), signal);
        failures += 1;
      }
    }
  }

  function pauseMs(failures: number): number {
    const ceilingMs = Math.min(retryLimitMs, firstRetryMs * 2 ** failures);
    return ceilingMs * (0.5 + 0.5 * random());
  }

  return createBackgroundLoop(run);
}
