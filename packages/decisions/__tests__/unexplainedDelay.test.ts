import test from 'ava';
import { createRunningEstimate, createUnexplainedDelay } from '../src';

const smoothing = 0.3;

test('samples count as in a running mean while no call is avoided', (t) => {
  const delay = createUnexplainedDelay({ smoothing });
  const mean = createRunningEstimate({ smoothing });
  [5, 80, -3, 0, 12, 40, Number.NaN, 7].forEach((sampleMs) => {
    delay.observe(sampleMs);
    mean.observe(sampleMs);
    t.true(Math.abs(delay.meanMs() - mean.mean()) < 1e-9);
    t.is(delay.weightedMs(), delay.meanMs());
  });
});

test('a long delay does not keep calls away for good, and one call that is quick ends it', (t) => {
  // Guards against a delay that is never measured again, as the calls that would measure it are avoided because of it.
  const delay = createUnexplainedDelay({ smoothing });
  Array.from({ length: 10 }).forEach(() => delay.observe(200));
  const maxAvoided = 50;
  let avoided = 0;
  for (; delay.weightedMs() > 3 && avoided < maxAvoided; avoided += 1) {
    delay.noteAvoided();
  }
  t.true(avoided > 10, 'what was measured counts for several calls');
  t.true(avoided < maxAvoided, 'then a call is made');
  t.true(delay.meanMs() > 100, 'nothing new is known before');
  delay.observe(0);
  t.true(delay.meanMs() < 5);
});

test('a delay that is measured again counts in full', (t) => {
  const delay = createUnexplainedDelay({ smoothing });
  Array.from({ length: 10 }).forEach(() => delay.observe(200));
  Array.from({ length: 10 }).forEach(() => delay.noteAvoided());
  delay.observe(200);
  t.is(delay.weightedMs(), delay.meanMs());
  t.true(delay.meanMs() > 190);
});
