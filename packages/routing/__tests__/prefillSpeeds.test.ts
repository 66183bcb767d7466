import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { createLearnedEstimates } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createPrefillSpeeds, type PrefillSpeeds } from '../src/fleet/prefillSpeeds';

const promptTokens = 5_000;

/** Engines a to c have read 50 tokens per millisecond. */
function withSpeeds(check: (speeds: PrefillSpeeds, clock: Clock) => void): void {
  const clock = FakeTimers.install();
  const estimates = createLearnedEstimates();
  const speeds = createPrefillSpeeds({
    observe: (id, value) => estimates.observe(id, value, monotonicNowMs()),
    estimate: (id) => estimates.estimate(id, monotonicNowMs()),
    typical: () => estimates.typical(monotonicNowMs()),
  });
  try {
    ['a', 'b', 'c'].forEach((id) => {
      const end = speeds.begin(id, { backlogTokens: 0, promptTokens, expectedMs: 100 });
      clock.tick(100);
      end('done');
    });
    clock.tick(100);
    check(speeds, clock);
  } finally {
    clock.uninstall();
  }
}

function prefill(
  speeds: PrefillSpeeds,
  clock: Clock,
  prompt: { tookMs: number; backlogTokens?: number; result?: 'done' | 'timed-out' | 'failed' },
): void {
  const { tookMs, backlogTokens = 0, result = 'done' } = prompt;
  const end = speeds.begin('a', { backlogTokens, promptTokens, expectedMs: 100 });
  clock.tick(tookMs);
  end(result);
}

test('an engine whose prompts take twice as long counts as slower', (t) => {
  withSpeeds((speeds, clock) => {
    t.is(speeds.learned('a'), 1);
    Array.from({ length: 6 }, () => prefill(speeds, clock, { tookMs: 200 }));
    t.true(speeds.learned('a') < 0.7);
    t.is(speeds.learned('b'), 1);
  });
});

test('a short prompt tells nothing of the speed, however long its call takes', (t) => {
  // Guards against engines that look slow, and are no longer used, since the network took most of a short call's time.
  withSpeeds((speeds, clock) => {
    Array.from({ length: 6 }, () => {
      const end = speeds.begin('a', { backlogTokens: 0, promptTokens: 100, expectedMs: 2 });
      clock.tick(10);
      end('done');
    });
    t.is(speeds.learned('a'), 1);
  });
});

test('a prompt behind others shows at most how fast the engine is', (t) => {
  withSpeeds((speeds, clock) => {
    // Part of the prompts ahead was done already: the engine is not as fast as this seems.
    prefill(speeds, clock, { tookMs: 110, backlogTokens: 10_000 });
    t.is(speeds.learned('a'), 1);
    Array.from({ length: 6 }, () =>
      prefill(speeds, clock, { tookMs: 1_200, backlogTokens: 10_000 }),
    );
    t.true(speeds.learned('a') < 0.5);
  });
});

/** Guards against an engine seven times as slow whose prompts never end before their time-out. */
test('a prompt that timed out shows that its engine is slow', (t) => {
  withSpeeds((speeds, clock) => {
    Array.from({ length: 4 }, () => prefill(speeds, clock, { tookMs: 700, result: 'timed-out' }));
    t.true(speeds.learned('a') < 0.4);
  });
});

/** Guards against an engine that attracts prompts because it rejects them at once. */
test('a prefill that failed tells nothing of the speed', (t) => {
  withSpeeds((speeds, clock) => {
    Array.from({ length: 20 }, () => prefill(speeds, clock, { tookMs: 1, result: 'failed' }));
    t.is(speeds.learned('a'), 1);
  });
});

/** Guards against sending more prompts to an engine while it is slow for a moment. */
test('an engine counts as slow while a prompt there is late, and not after its end', (t) => {
  withSpeeds((speeds, clock) => {
    const end = speeds.begin('a', { backlogTokens: 0, promptTokens, expectedMs: 100 });
    clock.tick(150);
    t.is(speeds.current('a'), 1);
    clock.tick(150);
    t.is(speeds.current('a'), 100 / 300);
    t.is(speeds.learned('a'), 1);
    end('failed');
    t.is(speeds.current('a'), 1);
  });
});
