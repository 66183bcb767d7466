import test from 'ava';
import { areIgnoredEntriesLasting, isReturnConfirmed, judgeEntry } from '@bluebellhitch/decisions';

const change = (number?: number) => ({ number, isListed: false });

test('an entry with a lower number than a known one is late', (t) => {
  t.is(judgeEntry(change(4), { state: 'listed', number: 5 }), 'late');
  t.is(judgeEntry(change(5), { state: 'listed', number: 5 }), 'current');
  t.is(judgeEntry(change(6), { state: 'listed', number: 5 }), 'current');
  t.is(judgeEntry(change(), { state: 'listed', number: 5 }), 'current');
});

test('an entry that follows the removal of its incarnation is unconfirmed, whatever its number', (t) => {
  [4, 5, 6, undefined].forEach((number) =>
    t.is(judgeEntry(change(number), { state: 'removed', number: 5 }), 'unconfirmed'),
  );
});

test('the first entry that is seen of an incarnation is unconfirmed if it is neither its first nor listed', (t) => {
  const unknown = { state: 'unknown' } as const;
  t.is(judgeEntry(change(1), unknown), 'current');
  t.is(judgeEntry(change(), unknown), 'current');
  t.is(judgeEntry(change(2), unknown), 'unconfirmed');
  t.is(judgeEntry({ number: 2, isListed: true }, unknown), 'current');
});

test('a return is confirmed by good health and a newer entry', (t) => {
  const returned = { knownNumber: 5, returnedNumber: 6 };
  t.true(isReturnConfirmed({ ...returned, isHealthy: true }));
  t.false(isReturnConfirmed({ ...returned, isHealthy: false }));
  t.false(isReturnConfirmed(returned));
});

test('good health does not confirm an entry that is not newer, before a newer one is seen', (t) => {
  const returned = { knownNumber: 5, returnedNumber: 5, isHealthy: true };
  t.false(isReturnConfirmed(returned));
  t.false(isReturnConfirmed({ ...returned, latestNumber: 5 }));
  t.true(isReturnConfirmed({ ...returned, latestNumber: 6 }));
});

test('a server in bad health is confirmed once it has gone on writing', (t) => {
  const returned = { knownNumber: 5, returnedNumber: 4, isHealthy: false };
  t.false(isReturnConfirmed({ ...returned, latestNumber: 9 }));
  t.true(isReturnConfirmed({ ...returned, latestNumber: 10 }));
});

test('without numbers, good health confirms a return', (t) => {
  t.true(isReturnConfirmed({ isHealthy: true }));
  t.false(isReturnConfirmed({ isHealthy: false }));
  t.false(isReturnConfirmed({ knownNumber: 5, isHealthy: undefined }));
});

test('ignored entries last once two more have been written', (t) => {
  const written = (latestNumber: number) => ({ firstNumber: 5, latestNumber, forMs: 60_000 });
  t.deepEqual(
    [5, 6, 7, 8].map((number) => areIgnoredEntriesLasting(written(number))),
    [false, false, true, true],
  );
});

test('ignored entries without numbers last once they would have expired', (t) => {
  t.false(areIgnoredEntriesLasting({ forMs: 3_600 }));
  t.true(areIgnoredEntriesLasting({ forMs: 10_000 }));
});
