import test from 'ava';
import { createAttemptLoans } from '@bluebellhitch/decisions';

const windowMs = 10_000;
const lifetimeMs = 2_000;
const lentLoan = { borrower: 'b', number: 1, serviceName: 's', count: 3, lifetimeMs };

test('a loan counts at its lender for its lifetime and a window more', (t) => {
  // The borrower may use it at the end of its lifetime, and the lender must not use it in the same window.
  const loans = createAttemptLoans({ windowMs });
  t.true(loans.lend(lentLoan, 0));
  t.is(loans.lentCount('s', lifetimeMs + windowMs - 1), 3);
  t.is(loans.lentCount('s', lifetimeMs + windowMs), 0);
  t.is(loans.lentCount('other', 0), 0);
});

test('a repeated question gets no second loan', (t) => {
  const loans = createAttemptLoans({ windowMs });
  t.true(loans.lend(lentLoan, 0));
  t.false(loans.lend(lentLoan, 1));
  t.true(loans.lend({ ...lentLoan, borrower: 'c' }, 1));
});

test('only the first return of a loan counts', (t) => {
  // A datagram may arrive twice.
  const loans = createAttemptLoans({ windowMs });
  loans.lend(lentLoan, 0);
  loans.takeBack('b', 1, 2);
  loans.takeBack('b', 1, 1);
  loans.takeBack('c', 1, 1);
  t.is(loans.lentCount('s', 1), 1);
});

test('each borrowed attempt is used once, and only until the loan expires', (t) => {
  const loans = createAttemptLoans({ windowMs });
  loans.borrow({ lender: 'l', number: 1, serviceName: 's', count: 2, untilMs: lifetimeMs });
  loans.takeBorrowed('s', 0)?.use();
  const second = loans.takeBorrowed('s', 0);
  t.is(loans.takeBorrowed('s', 0), undefined);
  second?.release();
  t.is(loans.borrowedCount('s', lifetimeMs - 1), 1);
  t.is(loans.takeBorrowed('s', lifetimeMs), undefined);
});

test('an expired loan is returned once no attempt of it is in progress', (t) => {
  // An attempt that began before the end may still be rejected: returned earlier, it would be available twice.
  const loans = createAttemptLoans({ windowMs });
  loans.borrow({ lender: 'l', number: 1, serviceName: 's', count: 3, untilMs: lifetimeMs });
  loans.takeBorrowed('s', 0)?.use();
  const inProgress = loans.takeBorrowed('s', 0);
  t.deepEqual(loans.takeExpired(lifetimeMs - 1), []);
  t.deepEqual(loans.takeExpired(lifetimeMs), []);
  inProgress?.release();
  t.deepEqual(loans.takeExpired(lifetimeMs), [{ lender: 'l', number: 1, unusedCount: 2 }]);
  t.deepEqual(loans.takeExpired(lifetimeMs), []);
});
