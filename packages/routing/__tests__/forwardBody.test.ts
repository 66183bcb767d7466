/** What is passed on of a long body: whole, in order, and no faster than the caller reads. */
import test from 'ava';
import { forwardBody, type BodyReader, type ResponseBody } from '@bluebellhitch/routing';
import type { ResponseWriter } from '../src/callerApi';

function startForwarding(start: Buffer[], isTaken: () => boolean) {
  let server: BodyReader | undefined;
  let onDrained: (() => void) | undefined;
  const seen: string[] = [];
  const rest: ResponseBody = {
    read(reader) {
      server = reader;
      seen.push('read');
    },
    pause: () => seen.push('pause'),
    resume: () => seen.push('resume'),
    abandon: () => undefined,
  };
  const writer: ResponseWriter = {
    write(chunk) {
      seen.push(chunk.toString());
      return isTaken();
    },
    onDrained(listener) {
      onDrained = listener;
    },
    end: () => seen.push('end'),
    abort: () => seen.push('abort'),
  };
  const done = forwardBody(writer, start, rest);
  return { server: server as unknown as BodyReader, seen, done, drain: () => onDrained?.() };
}

test('the rest of a body waits until the caller has read its start', async (t) => {
  // What had been kept of a body and a read more of it waited for each caller that did not read.
  const { server, seen, done, drain } = startForwarding([Buffer.from('a')], () => false);
  t.deepEqual(seen, ['a', 'read', 'pause']);
  drain();
  server.onEnd();
  t.deepEqual(seen.slice(3), ['resume', 'end']);
  t.is((await done).kind, 'whole');
});

test('the parts of the start are free once they are written', async (t) => {
  // The request held them until the end of the body, which may never come.
  const start = [Buffer.from('a'), Buffer.from('b')];
  const { server, seen, done } = startForwarding(start, () => true);
  t.deepEqual(start, []);
  server.onData(Buffer.from('c'));
  server.onLost('reset');
  t.deepEqual(seen, ['a', 'b', 'read', 'c', 'abort']);
  t.is((await done).kind, 'lost');
});
