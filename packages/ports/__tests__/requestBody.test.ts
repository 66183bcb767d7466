import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { createBodyReaderPool } from '../src/requestBody';
import { createPortResources } from '../src/portResources';

const limits = { maxBodyBytes: 1_000_000, timeoutMs: 60_000 };
/** Of which bodies may hold 150,000 bytes. */
const memoryBytes = 1_000_000;

function startReading(pool: ReturnType<typeof createBodyReaderPool>) {
  const sender = new PassThrough();
  return { sender, ...pool.read(sender as unknown as IncomingMessage, limits) };
}

test.serial('a body whose caller hardly sends gives its memory to others', async (t) => {
  // Bodies that stopped short of their end kept all memory until their time was over, and others were refused meanwhile.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  t.teardown(() => clock.uninstall());
  const pool = createBodyReaderPool(createPortResources(memoryBytes).memory);
  const stopped = startReading(pool);
  stopped.sender.write(Buffer.alloc(100_000));
  clock.tick(2_000);
  const sending = startReading(pool);
  sending.sender.end(Buffer.alloc(100_000));
  t.is((await stopped.done).kind, 'no-memory');
  t.is((await sending.done).kind, 'whole');
  sending.release();
  t.is(pool.heldBytes(), 0);
});

test.serial('a body that arrives keeps its memory, and the next one is refused', async (t) => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  t.teardown(() => clock.uninstall());
  const pool = createBodyReaderPool(createPortResources(memoryBytes).memory);
  const first = startReading(pool);
  first.sender.write(Buffer.alloc(100_000));
  clock.tick(500);
  const next = startReading(pool);
  next.sender.end(Buffer.alloc(100_000));
  t.is((await next.done).kind, 'no-memory');
  first.sender.end();
  t.is((await first.done).kind, 'whole');
});
