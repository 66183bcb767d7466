import test from 'ava';
import fc from 'fast-check';
import { createSeededRandom } from '@bluebellhitch/shared';
import { decideRetry, type FailedAttempt } from '../src/retryPolicy';
import { fixedSeed } from './helpers/fixtures';

function failedAttempt(overrides: Partial<FailedAttempt> = {}): FailedAttempt {
  return {
    notRun: true,
    dispatched: false,
    repeatable: true,
    triedInstances: ['a'],
    attempts: 1,
    maxAttempts: 3,
    takeFromBudget: () => true,
    remainingMs: 1_000,
    backoffBaseMs: 20,
    random: createSeededRandom(1),
    ...overrides,
  };
}

// Guards against running non-repeatable work twice: the server may have run the request and died before its
// response, or its "not run" may belong to another attempt.
test('non-repeatable work is never retried after dispatch', (t) => {
  const attempts = fc.record({
    notRun: fc.constantFrom(true, false, 'unknown' as const),
    dispatched: fc.boolean(),
    repeatable: fc.boolean(),
    attempts: fc.integer({ min: 1, max: 5 }),
    emittedTokens: fc.nat(3),
    remainingMs: fc.integer({ min: -10, max: 500 }),
  });
  fc.assert(
    fc.property(attempts, (attempt) => {
      const decision = decideRetry(failedAttempt(attempt));
      const again = decision.kind !== 'give-up';
      t.false(again && !attempt.repeatable && (attempt.dispatched || attempt.notRun !== true));
      t.false(again && (attempt.attempts >= 3 || attempt.remainingMs <= 0));
      t.true(decision.kind === 'give-up' || decision.excluded.has('a'));
      t.true(decision.kind === 'give-up' || decision.afterMs < attempt.remainingMs);
      t.true(decision.kind !== 'give-up' || decision.notRun === attempt.notRun);
    }),
    fixedSeed,
  );
});

test('a stream with output already delivered is resumed rather than restarted', (t) => {
  t.like(decideRetry(failedAttempt({ notRun: false, dispatched: true, emittedTokens: 7 })), {
    kind: 'resume',
    emittedTokens: 7,
  });
});

test('the budget is charged last, so that a retry that cannot happen costs nothing', (t) => {
  const takeFromBudget = () => {
    t.fail('took from the budget');
    return true;
  };
  t.is(decideRetry(failedAttempt({ takeFromBudget, attempts: 3 })).kind, 'give-up');
  t.is(decideRetry(failedAttempt({ takeFromBudget, remainingMs: 0 })).kind, 'give-up');
  t.like(decideRetry(failedAttempt({ takeFromBudget: () => false })), {
    kind: 'give-up',
    reason: 'retries-exhausted',
  });
});
