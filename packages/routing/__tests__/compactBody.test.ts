/** Small chunks of a response's body are passed on together, and none is lost or reordered. */
import test from 'ava';
import type { BodyReader, ResponseBody } from '@bluebellhitch/routing';
import { createCompactBody } from '../src/servers/compactBody';

function startBody() {
  let server: BodyReader | undefined;
  const body = createCompactBody({
    read(reader) {
      server = reader;
    },
    pause: () => undefined,
    resume: () => undefined,
    abandon: () => undefined,
  } satisfies ResponseBody);
  const seen: string[] = [];
  body.read({
    onData: (chunk) => seen.push(chunk.toString()),
    onEnd: () => seen.push('end'),
    onLost: (detail) => seen.push(`lost: ${detail}`),
  });
  return { server: server as unknown as BodyReader, seen };
}

test('chunks of one byte that arrive in one read are passed on as one part', async (t) => {
  // Each chunk was written to the caller by itself, and the objects of a write cost hundreds of bytes.
  const { server, seen } = startBody();
  [...'abcdef'].forEach((letter) => server.onData(Buffer.from(letter)));
  t.deepEqual(seen, []);
  await Promise.resolve();
  t.deepEqual(seen, ['abcdef']);
  server.onData(Buffer.from('g'));
  await Promise.resolve();
  t.deepEqual(seen, ['abcdef', 'g']);
});

test('what arrived before the end or the loss of a body is passed on before it', (t) => {
  const whole = startBody();
  whole.server.onData(Buffer.from('a'));
  whole.server.onEnd();
  t.deepEqual(whole.seen, ['a', 'end']);
  const lost = startBody();
  lost.server.onData(Buffer.from('a'));
  lost.server.onLost('reset');
  t.deepEqual(lost.seen, ['a', 'lost: reset']);
});

test('large chunks are passed on at once, in order with small ones', (t) => {
  const { server, seen } = startBody();
  const large = 'x'.repeat(10_000);
  server.onData(Buffer.from(large));
  t.deepEqual(seen, [large]);
  server.onData(Buffer.from('a'));
  server.onData(Buffer.from(large));
  server.onEnd();
  t.deepEqual(seen, [large, `a${large}`, 'end']);
});
