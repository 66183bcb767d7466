import test from 'ava';
import { createLinkPacer } from '../src/linkPacer';

const sample = { bytes: 1_000_000, durationMs: 1000 };

test('a single transfer gets the whole link, a second one waits', async (t) => {
  const pacer = createLinkPacer({ rateBytesPerSecond: 1000 });
  const first = await pacer.acquire('a');
  t.is(first?.rateBytesPerSecond, 1000);
  const second = pacer.acquire('b');
  first?.release();
  t.is((await second)?.rateBytesPerSecond, 1000);
});

// Otherwise a source on a slow link would reserve the whole link of this server until its transfer ends.
test('a slow source leaves the rest of the link to others', async (t) => {
  const pacer = createLinkPacer({ rateBytesPerSecond: 10_000_000 });
  Array.from({ length: 20 }, () => pacer.observe('slow', sample.bytes, sample.durationMs));
  const slow = await pacer.acquire('slow');
  t.is(slow?.rateBytesPerSecond, 2_500_000);
  const other = (await pacer.acquire('other'))?.rateBytesPerSecond ?? 0;
  t.true(other > 6_000_000 && other <= 7_500_000, String(other));
});

test('an aborted waiter does not block the next one', async (t) => {
  const pacer = createLinkPacer({ rateBytesPerSecond: 1000 });
  const first = await pacer.acquire('a');
  const connection = new AbortController();
  const aborted = pacer.acquire('b', connection.signal);
  const waiting = pacer.acquire('c');
  connection.abort();
  t.is(await aborted, undefined);
  first?.release();
  t.is((await waiting)?.rateBytesPerSecond, 1000);
});
