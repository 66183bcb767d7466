/**
 * Decides whether a failed attempt is retried. Only the entry retries. Non-repeatable work is never
 * retried once it was dispatched. Other work is retried on another server, after a proven "not run" or
 * where repeating is harmless, within the retry budget and the deadline.
 */
import type { NotRun, Random, RefusalReason } from '@bluebellhitch/shared';
import { backoffDelayMs } from './backoff';

export interface FailedAttempt {
  /** Whether the attempt did not run, as far as known. */
  notRun: NotRun;
  /** Whether the request was sent to a server for execution, rather than for a bid or a lease. */
  dispatched: boolean;
  repeatable: boolean;
  /** Servers tried so far, the failed one included: never tried again. */
  triedInstances: readonly string[];
  /** Attempts made so far. */
  attempts: number;
  maxAttempts: number;
  /** Takes a retry from the service's budget; called only if all other conditions allow one. */
  takeFromBudget: () => boolean;
  /** Output tokens that the caller has already received. */
  emittedTokens?: number;
  remainingMs: number;
  /** Minimum time that another attempt needs. */
  reserveMs?: number;
  backoffBaseMs: number;
  random: Random;
}

export type RetryDecision =
  | { kind: 'retry'; afterMs: number; excluded: ReadonlySet<string> }
  /** Continues after the tokens that the caller has received. */
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
    // A claim covers one dispatch. Even a server's own "not run" does not permit a second one: one key
    // would run twice if that response were wrong or belonged to another attempt.
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
