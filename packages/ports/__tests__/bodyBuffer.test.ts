import test from 'ava';
import fc from 'fast-check';
import { createBodyBuffer } from '../src/bodyBuffer';

test('a body is the same in whatever parts it came', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 40_000 }), { maxLength: 40 }),
      fc.integer({ min: 0, max: 255 }),
      (lengths, seed) => {
        const parts = lengths.map((length, index) => Buffer.alloc(length, seed + index));
        const buffer = createBodyBuffer();
        parts.forEach(buffer.append);
        const whole = Buffer.concat(parts);
        return buffer.length() === whole.length && buffer.take().equals(whole);
      },
    ),
    { seed: 72, numRuns: 200 },
  );
  t.pass();
});

test('a body in parts of one byte is held in a few segments', (t) => {
  // Each part was an object of its own, of a hundred bytes and more.
  const buffer = createBodyBuffer();
  const before = process.memoryUsage().arrayBuffers;
  const part = Buffer.from('x');
  Array.from({ length: 1_000_000 }).forEach(() => buffer.append(part));
  t.true(process.memoryUsage().arrayBuffers - before < 1_400_000);
  t.is(buffer.take().length, 1_000_000);
});
