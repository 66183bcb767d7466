/**
 * Keeps a copy of the objects of one kind: lists them once, then watches. A watch that is waiting does not show
 * that its connection went silent. So each is short, or, where other processes follow the same objects, as long
 * as those make up for: one that learns of a newer revision elsewhere gives its watch up for a new one.
 */
import { ok, type Result } from 'neverthrow';
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
  /** Longest time of the next watch. */
  watchWaitMs: () => number;
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

export interface ObjectFollower extends BackgroundLoop {
  /** The newest revision of an object of the kind that was seen; 0 before the first. */
  seenRevision(): number;
  /** Another process has seen this revision. */
  noteRevisionElsewhere(revision: number): void;
  /** Asks the store at once. */
  refresh(): void;
}

/** Short against the bounds for changes, which hold seconds after the store is back. */
const defaultFirstRetryMs = 100;
const defaultRetryLimitMs = 500;
const shortestWaitMs = 1;
const behindMs = 250;
/** Changes come in bursts: those of this time after one are fetched by one call. */
const gatherMs = 150;

export function createObjectFollower(options: ObjectFollowerOptions): ObjectFollower {
  const { store, kind, watchWaitMs, random = Math.random } = options;
  const { firstRetryMs = defaultFirstRetryMs, retryLimitMs = defaultRetryLimitMs } = options;
  let isBack = false;
  let seenRevision = 0;
  let isRefreshDue = false;
  let hadEvents = false;
  /** A watch that waits for a change; a call that is answered at once is left to its own time-out. */
  let waitingWatch: AbortController | undefined;
  let behindTimer: NodeJS.Timeout | undefined;

  async function step(
    cursor: string | undefined,
    signal: AbortSignal,
  ): Promise<Result<string | undefined, PlatformError>> {
    if (cursor === undefined) {
      const listed = await store.list(kind);
      noteAnswer(listed, signal);
      return listed.map(({ objects, cursor: from }) => {
        objects.forEach(({ version }) => noteRevision(version));
        options.onListed(objects);
        return from;
      });
    }
    // After an outage the first watch does not wait: its answer tells that the store is back, and what is
    // held back for the outage must not be held for the length of a watch longer.
    const waitMs = isBack && !isRefreshDue ? watchWaitMs() : shortestWaitMs;
    isRefreshDue = false;
    hadEvents = false;
    const givenUp = new AbortController();
    waitingWatch = waitMs > shortestWaitMs ? givenUp : undefined;
    const either = AbortSignal.any([signal, givenUp.signal]);
    const reply = await store.watch(kind, cursor, waitMs, either);
    if (givenUp.signal.aborted) {
      return ok(cursor);
    }
    noteAnswer(reply, signal);
    return reply.map(({ events, cursor: next, compacted }) => {
      hadEvents = events.length > 0;
      events.forEach(applyEvent);
      return compacted ? undefined : next;
    });
  }

  function applyEvent(event: WatchEvent): void {
    noteRevision(event.kind === 'put' ? event.object.version : event.version);
    options.onEvent(event);
  }

  function noteRevision(revision: number): void {
    seenRevision = Math.max(seenRevision, revision);
  }

  /**
   * Gives up a watch that waits: its connection may be silent. The call that follows is not given up, however
   * often peers say that they are ahead: on a thin link its answer may take seconds, and would never be read.
   */
  function refresh(): void {
    isRefreshDue = true;
    waitingWatch?.abort();
  }

  /** The change may be on its way here as well: a moment's patience saves a call. */
  function noteRevisionElsewhere(revision: number): void {
    if (revision <= seenRevision || behindTimer !== undefined) {
      return;
    }
    behindTimer = setTimeout(() => {
      behindTimer = undefined;
      if (revision > seenRevision) {
        refresh();
      }
    }, behindMs);
    behindTimer.unref();
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
        if (hadEvents) {
          await delay(gatherMs, signal);
        }
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

  return {
    ...createBackgroundLoop(run),
    seenRevision: () => seenRevision,
    noteRevisionElsewhere,
    refresh,
  };
}
