import test from 'ava';
import { isInputCurrent } from '../src/inputCurrency';

const input = { nowMs: 10_000, readThroughMs: 9_990, readAtMs: 9_980, passCount: 0 };

test('a process acts at once if it has read everything but what arrived in the last moments', (t) => {
  t.true(isInputCurrent(input));
  t.true(isInputCurrent({ ...input, readThroughMs: 9_750, readAtMs: 9_750 }));
});

test('a process that was held up does not act before it has read what arrived meanwhile', (t) => {
  t.false(isInputCurrent({ ...input, readThroughMs: 9_000, readAtMs: 8_000 }));
});

test('nothing is done for input before what arrived with it has been read', (t) => {
  const readLast = { ...input, readAtMs: 9_995 };
  t.false(isInputCurrent(readLast));
  t.false(isInputCurrent({ ...readLast, passCount: 100 }));
});

test('a process whose every pass takes long acts all the same', (t) => {
  const slow = { ...input, readThroughMs: 9_000, readAtMs: 8_000 };
  t.false(isInputCurrent({ ...slow, passCount: 2 }));
  t.true(isInputCurrent({ ...slow, passCount: 3 }));
});
