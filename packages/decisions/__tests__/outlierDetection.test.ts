import test from 'ava';
import fc from 'fast-check';
import { createOutlierDetector } from '../src/outlierDetection';
import { fixedSeed } from './helpers/fixtures';

function failTimes(
  detector: ReturnType<typeof createOutlierDetector>,
  id: string,
  times: number,
  nowMs = 0,
) {
  Array.from({ length: times }, () => detector.record(id, 'failure', nowMs));
}

test('a failing server is ejected, probed by one request at a time, and restored', (t) => {
  const detector = createOutlierDetector({ ejectionMs: 1_000 });
  detector.setPoolSize(6);
  failTimes(detector, 'a', 4);
  t.deepEqual([...detector.ejected(0)], ['a']);
  t.deepEqual([...detector.ejected(1_000)], []);
  detector.beginAttempt('a', 1_000);
  t.deepEqual([...detector.ejected(1_001)], ['a']);
  detector.record('a', 'success', 1_010);
  t.deepEqual(detector.state('a', 1_011), { kind: 'closed' });
});

test('a failed probe ejects for twice as long, and a lost probe does not block indefinitely', (t) => {
  const detector = createOutlierDetector({ ejectionMs: 1_000, probeTimeoutMs: 5_000 });
  detector.setPoolSize(6);
  failTimes(detector, 'a', 4);
  detector.beginAttempt('a', 1_000);
  detector.record('a', 'failure', 1_100);
  t.deepEqual(detector.state('a', 1_200), { kind: 'open', untilMs: 3_100 });
  detector.beginAttempt('a', 3_100);
  t.deepEqual(detector.state('a', 8_100), { kind: 'half-open', probing: false });
});

// Guards against refusing all requests while all servers are healthy: if the entry's own network fails for
// some seconds, each server looks like an outlier. At most the configured share of the pool is ejected.
test('a network failure never empties the pool', (t) => {
  const outcomes = fc.array(
    fc.record({
      server: fc.integer({ min: 0, max: 11 }),
      outcome: fc.constantFrom('failure' as const, 'failure' as const, 'success' as const),
      waitMs: fc.integer({ min: 0, max: 400 }),
      begins: fc.boolean(),
    }),
    { maxLength: 300, size: 'max' },
  );
  fc.assert(
    fc.property(outcomes, fc.integer({ min: 0, max: 12 }), (steps, poolSize) => {
      const detector = createOutlierDetector({ maxEjectedShare: 0.34 });
      detector.setPoolSize(poolSize);
      steps.reduce((nowMs, step) => {
        if (step.begins) {
          detector.beginAttempt(`s-${step.server}`, nowMs);
        }
        detector.record(`s-${step.server}`, step.outcome, nowMs);
        const bound = Math.floor(poolSize * 0.34);
        const broken = Array.from({ length: 12 }, (_, index) =>
          detector.state(`s-${index}`, nowMs),
        ).filter(({ kind }) => kind !== 'closed');
        t.true(broken.length <= bound);
        t.true(detector.ejected(nowMs).size <= bound);
        return nowMs + step.waitMs;
      }, 0);
    }),
    fixedSeed,
  );
});

test('the limit on ejections follows a pool that shrinks', (t) => {
  const detector = createOutlierDetector();
  detector.setPoolSize(12);
  ['a', 'b', 'c', 'd'].forEach((id) => failTimes(detector, id, 4));
  t.is(detector.ejected(0).size, 4);
  detector.setPoolSize(3);
  t.is(detector.ejected(0).size, 1);
});

test('a server that fails half of its calls is ejected although some succeed', (t) => {
  const detector = createOutlierDetector();
  detector.setPoolSize(6);
  Array.from({ length: 20 }, (_, index) =>
    detector.record('a', index % 3 === 0 ? 'success' : 'failure', index),
  );
  t.is(detector.state('a', 20).kind, 'open');
});
