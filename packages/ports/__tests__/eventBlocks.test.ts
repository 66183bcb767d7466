import test from 'ava';
import fc from 'fast-check';
import { createParser } from 'eventsource-parser';
import { createEventBlocks } from '../src/eventBlocks';

function read(parts: readonly Uint8Array[]): string[] {
  const events: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => events.push(data) });
  const blocks = createEventBlocks();
  parts.forEach((part) => {
    const block = blocks.add(part);
    if (block.kind === 'events') {
      parser.feed(block.text);
    }
  });
  return events;
}

function cut(bytes: Buffer, positions: readonly number[]): Buffer[] {
  const ends = [...positions.map((position) => position % (bytes.length + 1)), bytes.length];
  const sorted = ends.toSorted((a, b) => a - b);
  return sorted.map((end, index) => bytes.subarray(sorted[index - 1] ?? 0, end));
}

test('the events are the same whatever their line ends and however the bytes are cut', (t) => {
  const data = fc.array(fc.constantFrom('a', 'ü €', '{"x":1}', ''), { minLength: 1, maxLength: 3 });
  fc.assert(
    fc.property(
      fc.array(fc.tuple(data, fc.constantFrom('\n', '\r\n', '\r')), { maxLength: 8 }),
      fc.array(fc.nat(400), { maxLength: 30 }),
      (events, positions) => {
        const text = events.map(([lines, lineEnd]) =>
          [...lines.map((line) => `data: ${line}`), '', ''].join(lineEnd),
        );
        const expected = events.map(([lines]) => lines.join('\n'));
        const actual = read(cut(Buffer.from(text.join('')), positions));
        t.deepEqual(actual, expected);
      },
    ),
    { seed: 75, numRuns: 500 },
  );
});

test('an event is available as soon as its blank line has arrived', (t) => {
  const blocks = createEventBlocks();
  t.deepEqual(blocks.add(Buffer.from('data: a\n')), { kind: 'events', text: '' });
  t.deepEqual(blocks.add(Buffer.from('\ndata: b')), { kind: 'events', text: 'data: a\n\n' });
  t.deepEqual(blocks.add(Buffer.from('\r\r')), { kind: 'events', text: 'data: b\r\r\n' });
});

test('an event that is longer than the limit is found, in whatever parts and lines it comes', (t) => {
  const isTooLong = (part: string, count: number) => {
    const blocks = createEventBlocks({ maxEventBytes: 100 });
    const kinds = Array.from({ length: count }, () => blocks.add(Buffer.from(part)).kind);
    return kinds.includes('too-long');
  };
  t.false(isTooLong('x', 100));
  t.true(isTooLong('x', 101));
  t.true(isTooLong('d\n', 51));
  t.true(isTooLong('d\r', 51));
  t.true(isTooLong('d\r\n', 34));
  t.true(isTooLong(`a\n\n${'x'.repeat(101)}`, 1));
  t.false(isTooLong('data: x\n\n', 1_000));
});

test('line ends cut in their middle leave no part of an event with the parser', (t) => {
  // Otherwise a parser would collect what the limit does not count.
  const blocks = createEventBlocks({ maxEventBytes: 100 });
  const parts = Array.from({ length: 100 }, () => ['data: x\r', '\n']).flat();
  const kinds = parts.map((part) => blocks.add(Buffer.from(part)).kind);
  t.true(kinds.includes('too-long'));
});
