import test from 'ava';
import { writeIntervalMs } from '@bluebellhitch/decisions';

const limits = {
  ...{ writesPerSecond: 100, bytesPerSecond: 1_000, savedBytes: 0, minIntervalMs: 100 },
};

test('a small fleet with small objects writes as often as the shortest interval allows', (t) => {
  t.is(writeIntervalMs({ ...limits, writerCount: 4, objectBytes: 100 }), 100);
});

test('many routers share the rate of the store', (t) => {
  // Otherwise a large fleet would use up the calls that its other parts need.
  t.is(writeIntervalMs({ ...limits, writerCount: 359, objectBytes: 100 }), 3_590);
});

test('large objects are written less often once the saved bytes are used up', (t) => {
  const large = { ...limits, writerCount: 4, objectBytes: 3_000 };
  t.is(writeIntervalMs({ ...large, savedBytes: 5_000 }), 100);
  t.is(writeIntervalMs({ ...large, savedBytes: 2_000 }), 1_000);
  t.is(writeIntervalMs(large), 3_000);
});
