import test from 'ava';
import fc from 'fast-check';
import {
  decidePrefill,
  estimateOutcome,
  probabilityWithin,
  latestUsableInMs,
} from '../src/expectedValue';
import { decisionOptions, fixedSeed } from './helpers/fixtures';

const durationMs = fc.integer({ min: 0, max: 800 });
const prediction = fc.record({
  overlapsWait: fc.boolean(),
  usableInMs: durationMs,
  prefillWaitMs: durationMs,
  prefillMs: durationMs,
  transferMs: durationMs,
  stepMs: fc.integer({ min: 1, max: 60 }),
});
const weights = fc.record({
  goodput: fc.double({ min: 0.1, max: 10, noNaN: true }),
  wastedPrefill: fc.double({ min: 0, max: 10, noNaN: true }),
});

test('a prefill starts if and only if its expected value is positive', (t) => {
  fc.assert(
    fc.property(prediction, weights, (predicted, givenWeights) => {
      const options = decisionOptions(predicted, { weights: givenWeights });
      const { probability: p, value } = estimateOutcome(options);
      t.true(
        Math.abs(value - (givenWeights.goodput * p - givenWeights.wastedPrefill * (1 - p))) < 1e-9,
      );
      t.is(decidePrefill(options).kind === 'start', value > 0);
    }),
    fixedSeed,
  );
});

test('a later slot never raises the probability, and the value is 0 at the latest useful slot', (t) => {
  fc.assert(
    fc.property(prediction, durationMs, (predicted, laterByMs) => {
      const options = decisionOptions(predicted);
      const later = decisionOptions({ ...predicted, usableInMs: predicted.usableInMs + laterByMs });
      t.true(estimateOutcome(later).probability <= estimateOutcome(options).probability);
      const slackMs = latestUsableInMs(options);
      if (slackMs >= 0) {
        const atSlack = estimateOutcome(decisionOptions({ ...predicted, usableInMs: slackMs }));
        t.true(
          Math.abs(atSlack.value) < 1e-6 ||
            slackMs <= predicted.prefillMs + predicted.prefillWaitMs,
        );
        t.true(atSlack.value > -1e-6);
      }
    }),
    fixedSeed,
  );
});

test('a higher weight on wasted prefill declines what a lower one starts', (t) => {
  const borderline = { usableInMs: 560 };
  const goodputFirst = decisionOptions(borderline);
  const wasteFirst = decisionOptions(borderline, { weights: { goodput: 0.5, wastedPrefill: 2 } });
  t.is(decidePrefill(goodputFirst).kind, 'start');
  t.not(decidePrefill(wasteFirst).kind, 'start');
});

// Guards against prefill results that expire: an engine keeps a result for less than a second, so a prefill
// that ends long before the decode slot is usable would have to be computed again.
test('a prefill does not start long before its slot is usable', (t) => {
  const decision = decidePrefill(
    decisionOptions(
      { usableInMs: 5_000 },
      { targets: { firstTokenMs: 9_000, betweenTokensMs: 28 } },
    ),
  );
  t.true(decision.kind === 'start' && decision.startInMs === 4_780);
});

test('a request that cannot meet its target is refused at once, with a retry delay', (t) => {
  const decision = decidePrefill(decisionOptions({ usableInMs: 3_000 }));
  t.is(decision.kind, 'refuse');
  t.true(decision.kind === 'refuse' && decision.retryAfterMs > 2_000);
});

test('a request that narrowly misses waits, but only while it can still succeed', (t) => {
  const options = decisionOptions(
    { usableInMs: 590 },
    { weights: { goodput: 1, wastedPrefill: 1 } },
  );
  const decision = decidePrefill(options);
  t.true(decision.kind === 'wait' && decision.limitMs > 0 && decision.limitMs < 590);
});

test('a prompt too long for its target is served late if the servers are idle', (t) => {
  const tooLong = { prefillMs: 2_000 };
  t.is(decidePrefill(decisionOptions(tooLong)).kind, 'refuse');
  const decision = decidePrefill(decisionOptions(tooLong, { serversIdle: true }));
  t.true(decision.kind === 'start' && decision.late);
});

test('the probability is a half at the limit and falls with the mean', (t) => {
  t.is(probabilityWithin(620, 620, 0.2), 0.5);
  t.true(probabilityWithin(620, 300, 0.2) > 0.99);
  t.true(probabilityWithin(620, 1_200, 0.2) < 0.02);
  t.is(probabilityWithin(0, 10, 0.2), 0);
});
