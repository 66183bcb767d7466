import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { createReadBarrier } from '../src/readBarrier';

/** Keeps the process from reading, as a stop or a lack of processor time does. */
function holdUp(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}

test('input that arrived with a request is read before the barrier lets it pass', async (t) => {
  // The end of a connection lies in the kernel behind the data, and is read in the next poll phase only.
  const barrier = createReadBarrier();
  const ends: boolean[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket: Socket) => {
    t.teardown(() => socket.destroy());
    let hasEnded = false;
    socket.once('end', () => {
      hasEnded = true;
    });
    socket.once('data', () => {
      t.false(hasEnded);
      const check = barrier.check(performance.now());
      const pass = async () => {
        while (!check.isCurrent()) {
          await check.nextPass();
        }
        ends.push(hasEnded);
      };
      void pass();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const callers = Array.from({ length: 10 }, () => connect({ host: '127.0.0.1', port }));
  await Promise.all(callers.map((caller) => once(caller, 'connect')));
  callers.forEach((caller) => {
    caller.on('error', () => undefined);
    caller.end('request');
  });
  holdUp(100);
  while (ends.length < callers.length) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  t.deepEqual(ends, Array(callers.length).fill(true));
});

test('actions that follow shortly after one that has passed do not wait', async (t) => {
  const barrier = createReadBarrier();
  const first = barrier.check(performance.now());
  t.false(first.isCurrent());
  while (!first.isCurrent()) {
    await first.nextPass();
  }
  t.true(barrier.check().isCurrent());
  t.false(barrier.check(performance.now()).isCurrent());
});

test('an action after a hold-up waits for what arrived meanwhile', async (t) => {
  const barrier = createReadBarrier();
  const first = barrier.check(performance.now());
  await first.nextPass();
  holdUp(300);
  const second = barrier.check();
  t.false(second.isCurrent());
  await second.nextPass();
  t.true(second.isCurrent());
});
