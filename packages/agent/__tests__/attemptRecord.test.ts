import test from 'ava';
import { createAttemptRecord } from '../src/attemptRecord';

test('an attempt starts once', (t) => {
  const attempts = createAttemptRecord();
  attempts.noteReserved('a');
  t.true(attempts.tryStart('a'));
  t.false(attempts.tryStart('a'));
  attempts.noteEnded('a');
  t.false(attempts.tryStart('a'));
});

test('a cancelled attempt does not start; a running one counts as ended', (t) => {
  const attempts = createAttemptRecord();
  attempts.noteCancelled('a');
  t.false(attempts.tryStart('a'));
  t.is(attempts.getPhase('a'), 'cancelled');
  attempts.tryStart('b');
  attempts.noteCancelled('b');
  t.is(attempts.getPhase('b'), 'ended');
});

test('a refused reservation is forgotten, and the number of attempts is bounded', (t) => {
  const attempts = createAttemptRecord({ capacity: 2 });
  attempts.noteReserved('a');
  attempts.forget('a');
  t.is(attempts.getPhase('a'), undefined);
  ['b', 'c', 'd'].forEach(attempts.noteEnded);
  t.is(attempts.getPhase('b'), undefined);
  t.is(attempts.getPhase('d'), 'ended');
});
