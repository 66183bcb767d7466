import test from 'ava';
import fc from 'fast-check';
import type { StreamFrame } from '@bluebellhitch/protocol';
import { createStreamGuard } from '../src/streamGuard';
import { fixedSeed } from './helpers/fixtures';

function tokens(offset: number, text: string, attemptId = 'mine'): StreamFrame {
  return { kind: 'tokens', attemptId, offset, tokenCount: text.length, text };
}

function end(offset: number, attemptId = 'mine'): StreamFrame {
  return { kind: 'end', attemptId, offset, finishReason: 'stop' };
}

// Guards against delivering another caller's text, repeated text, or a response with a gap: frames of an
// earlier use of the engine's slot may arrive late, others may be repeated, reordered or lost.
test("delivers a prefix of the attempt's own response, and reports complete only for all of it", (t) => {
  const response = 'abcdefghijklmnop';
  const frame = fc.record({
    offset: fc.nat(response.length),
    length: fc.integer({ min: 1, max: 4 }),
    kind: fc.constantFrom('own', 'own', 'own', 'foreign', 'end', 'foreign-end'),
  });
  const toFrame = ({ offset, length, kind }: { offset: number; length: number; kind: string }) => {
    if (kind === 'end' || kind === 'foreign-end') {
      return end(response.length, kind === 'end' ? 'mine' : 'other');
    }
    const text = response.slice(offset, offset + length) || 'x';
    return kind === 'foreign' ? tokens(offset, text.toUpperCase(), 'other') : tokens(offset, text);
  };
  const inOrder = Array.from(response, (letter, index) => tokens(index, letter));
  const noise = fc.array(fc.tuple(fc.nat(20), frame), { maxLength: 12, size: 'max' });
  fc.assert(
    fc.property(noise, (injected) => {
      const frames = [...inOrder, end(response.length)];
      injected.forEach(([position, item]) => frames.splice(position, 0, toFrame(item)));
      const guard = createStreamGuard({ attemptId: 'mine' });
      const results = frames.map((item) => guard.accept(item));
      const delivered = results
        .flatMap((item) => (item.kind === 'deliver' ? item.text : []))
        .join('');
      t.true(response.startsWith(delivered));
      const complete = results.some(({ kind }) => kind === 'complete');
      t.is(complete, complete && delivered === response);
      t.true(complete || results.some(({ kind }) => kind === 'truncated'));
    }),
    fixedSeed,
  );
});

test('drops and counts foreign frames, duplicates and frames after the end', (t) => {
  const guard = createStreamGuard({ attemptId: 'mine' });
  const results = [
    tokens(0, 'ab'),
    tokens(0, 'ab'),
    tokens(2, 'XX', 'other'),
    tokens(2, 'c'),
    end(3),
    tokens(3, 'd'),
    end(3),
  ].map((frame) => guard.accept(frame));
  t.deepEqual(
    results.map(({ kind }) => kind),
    ['deliver', 'ignore', 'ignore', 'deliver', 'complete', 'ignore', 'ignore'],
  );
  t.deepEqual(guard.ignoredCounts(), { 'foreign-attempt': 1, duplicate: 1, 'after-end': 2 });
});

test('a gap, an overlap, a wrong end offset and a missing end count as truncation', (t) => {
  const causeOf = (...frames: StreamFrame[]) => {
    const guard = createStreamGuard({ attemptId: 'mine' });
    const results = [...frames.map((frame) => guard.accept(frame)), guard.close()];
    return results.flatMap((result) => (result.kind === 'truncated' ? result.cause : []));
  };
  t.deepEqual(causeOf(tokens(0, 'ab'), tokens(3, 'd')), ['gap']);
  t.deepEqual(causeOf(tokens(0, 'ab'), tokens(1, 'bc')), ['overlap']);
  t.deepEqual(causeOf(tokens(0, 'ab'), end(3)), ['end-mismatch']);
  t.deepEqual(causeOf(tokens(0, 'ab'), end(1)), ['end-mismatch']);
  t.deepEqual(causeOf(tokens(0, 'ab')), ['closed']);
  t.deepEqual(causeOf(tokens(0, 'ab'), end(2)), []);
});

test('a resumed attempt continues after the delivered tokens, and must not start over', (t) => {
  const guard = createStreamGuard({ attemptId: 'mine', startOffset: 5 });
  t.like(guard.accept(tokens(5, 'f')), { kind: 'deliver', offset: 5 });
  t.like(guard.accept(end(6)), { kind: 'complete', totalTokens: 6 });
  const restarted = createStreamGuard({ attemptId: 'mine', startOffset: 5 });
  t.like(restarted.accept(tokens(0, 'a')), { kind: 'truncated', cause: 'restarted' });
});
