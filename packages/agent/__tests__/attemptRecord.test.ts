import test from 'ava';
import { createAttemptRecord } from '../src/attemptRecord';

test('an attempt starts once', (t) => {
  const attempts = createAttemptRecord();
  attempts.reserved('a');
  t.true(attempts.start('a'));
  t.false(attempts.start('a'));
  attempts.ended('a');
  t.false(attempts.start('a'));
});

test('a cancelled attempt does not start; a running one counts as run', (t) => {
  const attempts = createAttemptRecord();
  attempts.cancelled('a');
  t.false(attempts.start('a'));
  t.is(attempts.phaseOf('a'), 'cancelled');
  attempts.start('b');
  attempts.cancelled('b');
  t.is(attempts.phaseOf('b'), 'ended');
});

test('a refused reservation leaves no trace, and the record is bounded', (t) => {
  const attempts = createAttemptRecord({ capacity: 2 });
  attempts.reserved('a');
  attempts.forget('a');
  t.is(attempts.phaseOf('a'), undefined);
  ['b', 'c', 'd'].forEach(attempts.ended);
  t.is(attempts.phaseOf('b'), undefined);
  t.is(attempts.phaseOf('d'), 'ended');
});
