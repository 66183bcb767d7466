import fc from 'fast-check';
import test from 'ava';
import { createEventSplitter } from '@bluebellhitch/routing';

const eventText = (id: number) => `id: ${id}\ndata: t${id}\n\n`;

test('events are complete, however the bytes are split into chunks', (t) => {
  const whole = [1, 2, 3, 4].map(eventText).join('');
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: whole.length }), { maxLength: 8 }), (cuts) => {
      const splitter = createEventSplitter();
      const positions = [0, ...cuts.sort((left, right) => left - right), whole.length];
      const events = positions
        .slice(1)
        .flatMap((to, index) => splitter.push(Buffer.from(whole.slice(positions[index], to))));
      t.deepEqual(
        events.map(({ id }) => id),
        [1, 2, 3, 4],
      );
      t.is(Buffer.concat(events.map(({ bytes }) => bytes)).toString(), whole);
      t.is(splitter.pendingBytes(), 0);
    }),
    { seed: 7 },
  );
});

test('an incomplete event is not returned', (t) => {
  const splitter = createEventSplitter();
  t.is(splitter.push(Buffer.from(`${eventText(1)}id: 2\nda`)).length, 1);
  t.is(splitter.pendingBytes(), 'id: 2\nda'.length);
});

test('events with carriage returns or without an id are split too', (t) => {
  const splitter = createEventSplitter();
  const events = splitter.push(Buffer.from('id: 5\r\ndata: a\r\n\r\ndata: b\n\n'));
  t.deepEqual(
    events.map(({ id }) => id),
    [5, undefined],
  );
});
