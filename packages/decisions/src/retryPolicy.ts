/**
 * Whether a failed attempt is followed by another. Only the entry retries. Work marked as not to be
 * repeated is never tried again once it was dispatched; other work is, after a proven "not run" or
 * where repeating is harmless, on another server, within the retry budget and the deadline.
 */
import type { NotRun, Random, RefusalReason } from '@bluebellhitch/shared';
import { backoffDelayMs } from './backoff';

export interface FailedAttempt {
  /** Whether the attempt ran, as far as known. */
  notRun: NotRun;
  /** Whether the request was sent to a server for execution, rather than for a bid or a lease. */
  dispatched: boolean;
  repeatable: boolean;
  /** Servers tried so far, the failed one included: never asked again. */
  triedInstances: readonly string[];
  /** Attempts made so far. */
  attempts: number;
  maxAttempts: number;
  /** Takes a retry out of the service's budget; called only where all else allows one. */
  takeFromBudget: () => boolean;
  /** Output tokens that the caller already has. */
  emittedTokens?: number;
  remainingMs: number;
  /** Time that another attempt needs at least. */
  reserveMs?: number;
  backoffBaseMs: number;
  random: Random;
}

export type RetryDecision =
  | { kind: 'retry'; afterMs: number; excluded: ReadonlySet<string> }
  /** Continue behind the tokens that the caller has. */
  | { kind: 'resume'; afterMs: number; excluded: ReadonlySet<string>; emittedTokens: number }
  | { kind: 'give-up'; reason: RefusalReason; notRun: NotRun; detail: string };

export function decideRetry(attempt: FailedAttempt): RetryDecision {
  const obstacle = findObstacle(attempt);
  if (obstacle !== undefined) {
    return giveUp(attempt, obstacle.reason, obstacle.detail);
  }
  const afterMs = backoffDelayMs({
    retryIndex: Math.max(0, attempt.attempts - 1),
    baseMs: attempt.backoffBaseMs,
    remainingMs: attempt.remainingMs,
    reserveMs: attempt.reserveMs,
    random: attempt.random,
  });
  if (afterMs === undefined) {
    return giveUp(attempt, 'deadline-exceeded', 'no time is left for another attempt');
  }
  if (!attempt.takeFromBudget()) {
    return giveUp(attempt, 'retries-exhausted', 'the retry budget of the service is used up');
  }
  const excluded = new Set(attempt.triedInstances);
  const { emittedTokens = 0 } = attempt;
  return emittedTokens > 0
    ? { kind: 'resume', afterMs, excluded, emittedTokens }
    : { kind: 'retry', afterMs, excluded };
}

interface Obstacle {
  reason: RefusalReason;
  detail: string;
}

function findObstacle(attempt: FailedAttempt): Obstacle | undefined {
  if (!attempt.repeatable && (attempt.dispatched || attempt.notRun !== true)) {
    // A claim covers one dispatch. Even a server's own "not run" is no licence for a second one: the
    // caller would see one key run twice if that answer were wrong or belonged to another attempt.
    return { reason: 'backend-failed', detail: 'the request may not be repeated after dispatch' };
  }
  if (attempt.attempts >= attempt.maxAttempts) {
    return { reason: 'retries-exhausted', detail: 'all attempts that the document allows failed' };
  }
  return undefined;
}

function giveUp(attempt: FailedAttempt, reason: RefusalReason, detail: string): RetryDecision {
  return { kind: 'give-up', reason, notRun: attempt.notRun, detail };
}
