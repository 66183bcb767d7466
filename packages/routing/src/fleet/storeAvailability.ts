/**
 * Whether the store answers, and when it last recovered from an outage. Entries expire only in an outage, so calls that
 * fail for another cause must not look like one: a store in service may cut off a watch that waits, and turns away calls
 * beyond its rate. An outage is taken as proved once calls have failed, or were overdue, for some time.
 */
import type { PlatformError } from '@bluebellhitch/objects';
import { monotonicNowMs } from '@bluebellhitch/shared';

/** Why the store counts as available again, or for the first time. */
export type StoreReturn =
  /** The first answer to this process, before which nothing shows an outage. */
  | { kind: 'first-answer' }
  /** Calls failed, but nothing shows that the store was unavailable. */
  | { kind: 'failed-calls' }
  /** The outage ended at most `endedAtMostAgoMs` ago; `agoMs` is greater than 0 if a peer noticed that so long ago. */
  | { kind: 'outage'; agoMs: number; endedAtMostAgoMs: number };

export interface StoreAvailabilityListener {
  /** Called when the store stops answering. */
  onUnavailable(error: PlatformError): void;
  onAvailable(cause: StoreReturn): void;
}

/** When the store last answered a call of this process; shared by all that call it. */
export interface StoreAnswers {
  note(): void;
  latestAtMs(): number;
}

export function createStoreAnswers(): StoreAnswers {
  let latestAtMs = -Infinity;
  return {
    note() {
      latestAtMs = monotonicNowMs();
    },
    latestAtMs: () => latestAtMs,
  };
}

export interface StoreAvailability {
  /** A call was answered. */
  noteAnswer(): void;
  /** A call failed that had started at `startedAtMs`, and whose answer was due at `dueAtMs`. */
  noteFailure(error: PlatformError, startedAtMs: number, dueAtMs: number): void;
  /** A peer noticed that long ago that the store has recovered. */
  noteRecovery(agoMs: number): void;
  /** The store has recovered since the answer before the last one, although no call failed. */
  noteUnseenOutage(): void;
  /** Whether the last call was answered. */
  isAvailable(): boolean;
  /** Time since the last recovery; infinite if there was none. */
  recoveryAgeMs(): number;
}

/**
 * A failed call shows that the outage lasted at least until it started. A call that waits for changes would have been
 * answered at the end of its wait, so if it fails, the outage lasted until shortly before.
 */
const maxCallMs = 1_500;
/**
 * Calls of a store in service do not fail for this long, and no entry expires in a shorter outage, as that takes several
 * heartbeats.
 */
const minOutageMs = 500;
/** Failures with longer pauses between them do not belong together. */
const maxFailureGapMs = 1_500;

export function createStoreAvailability(
  listener: StoreAvailabilityListener,
  answers: StoreAnswers = createStoreAnswers(),
): StoreAvailability {
  let isAvailable = false;
  let hasAnswered = false;
  /** The outage in progress has lasted at least until then; undefined if no call has failed since the last answer. */
  let outageSeenAtMs: number | undefined;
  let recoveredAtMs = -Infinity;
  let answeredAtMs = monotonicNowMs();
  /** Time of the answer before the last one. */
  let previousAnswerAtMs = answeredAtMs;
  const failures = createFailureSpan();

  function returnCause(nowMs: number): StoreReturn {
    if (outageSeenAtMs !== undefined && failures.areOutage()) {
      return { kind: 'outage', agoMs: 0, endedAtMostAgoMs: nowMs - outageSeenAtMs };
    }
    return hasAnswered ? { kind: 'failed-calls' } : { kind: 'first-answer' };
  }

  return {
    /** The first answer after the start of this process is not a recovery, and none is reported to peers. */
    noteAnswer() {
      const nowMs = monotonicNowMs();
      const cause = returnCause(nowMs);
      previousAnswerAtMs = answeredAtMs;
      answeredAtMs = nowMs;
      answers.note();
      outageSeenAtMs = undefined;
      hasAnswered = true;
      failures.noteAnswer();
      if (isAvailable) {
        return;
      }
      isAvailable = true;
      if (cause.kind === 'outage') {
        recoveredAtMs = nowMs;
      }
      listener.onAvailable(cause);
    },
    noteFailure(error, startedAtMs, dueAtMs) {
      outageSeenAtMs = Math.max(startedAtMs, monotonicNowMs() - maxCallMs);
      failures.noteFailure(error, dueAtMs, answers.latestAtMs() > dueAtMs);
      if (isAvailable) {
        isAvailable = false;
        listener.onUnavailable(error);
      }
    },
    noteRecovery(agoMs) {
      recoveredAtMs = monotonicNowMs() - agoMs;
      listener.onAvailable({ kind: 'outage', agoMs, endedAtMostAgoMs: agoMs });
    },
    noteUnseenOutage() {
      recoveredAtMs = monotonicNowMs();
      const endedAtMostAgoMs = answeredAtMs - previousAnswerAtMs;
      listener.onAvailable({ kind: 'outage', agoMs: 0, endedAtMostAgoMs });
    },
    isAvailable: () => isAvailable,
    recoveryAgeMs: () => monotonicNowMs() - recoveredAtMs,
  };
}

/** For how long calls have failed, also between answers: a store that fails some of its calls is not in service. */
function createFailureSpan() {
  let fromMs = Infinity;
  let untilMs = -Infinity;
  /** When the first call since the last answer failed. */
  let firstFailureAtMs: number | undefined;
  /** Whether a call has failed since the last answer that a store in service would have answered. */
  let hasFailed = false;

  return {
    /** `wasAnswered`: other calls were answered while this one was overdue. */
    noteFailure({ kind }: PlatformError, dueAtMs: number, wasAnswered: boolean): void {
      const nowMs = monotonicNowMs();
      if (kind === 'rate-limited' || wasAnswered) {
        return;
      }
      const failingFromMs = Math.min(nowMs, dueAtMs, firstFailureAtMs ?? Infinity);
      firstFailureAtMs ??= nowMs;
      if (nowMs < dueAtMs) {
        return;
      }
      if (failingFromMs - untilMs > maxFailureGapMs) {
        fromMs = failingFromMs;
      }
      untilMs = nowMs;
      hasFailed = true;
    },
    noteAnswer(): void {
      firstFailureAtMs = undefined;
      hasFailed = false;
    },
    areOutage: () => hasFailed && untilMs - fromMs >= minOutageMs,
  };
}
