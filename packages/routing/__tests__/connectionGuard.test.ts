import test from 'ava';
import { delay } from '@bluebellhitch/shared';
import { createBusyMeter, createConnectionGuard } from '../src/callers/connectionGuard';

function keepBusy(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}

test.serial('the busy share tells a process that never waits from one that does', async (t) => {
  const takeBusyShare = createBusyMeter();
  await delay(200);
  t.true(takeBusyShare() < 0.5);
  for (let round = 0; round < 10; round += 1) {
    keepBusy(20);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  t.true(takeBusyShare() > 0.9);
});

test.serial('an idle process serves all new connections', async (t) => {
  const mayServe = createConnectionGuard(() => t.fail('closed a connection'));
  for (let number = 0; number < 50; number += 1) {
    t.true(mayServe());
    await delay(2);
  }
});
