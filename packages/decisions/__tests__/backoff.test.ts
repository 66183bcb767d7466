import test from 'ava';
import { createSeededRandom } from '@bluebellhitch/shared';
import { backoffDelayMs } from '../src/backoff';

const options = { retryIndex: 0, baseMs: 20, remainingMs: 1_000, random: createSeededRandom(3) };

test('delays are spread over the whole range, which doubles with each retry', (t) => {
  const largest = (retryIndex: number) =>
    Math.max(
      ...Array.from({ length: 500 }, () => backoffDelayMs({ ...options, retryIndex }) ?? NaN),
    );
  t.true(largest(0) > 19 && largest(0) < 20);
  t.true(largest(3) > 155 && largest(3) < 160);
  t.true(largest(20) < 1_000);
});

test('no delay uses up time that the retry itself needs', (t) => {
  const late = { ...options, retryIndex: 9, remainingMs: 100, reserveMs: 80 };
  const delays = Array.from({ length: 200 }, () => backoffDelayMs(late) ?? NaN);
  t.true(delays.every((delayMs) => delayMs < 20));
  t.is(backoffDelayMs({ ...late, reserveMs: 100 }), undefined);
});
