/**
 * Further attempts that routers lend to each other, as one router sees them. A loan moves a part of the lender's share
 * to the borrower, so the total of all routers does not grow:
 * - The borrower may use the loan until `lifetimeMs` after it sent its question, by its own clock.
 * - The lender counts the loan as used from its answer until `lifetimeMs` plus one window later. Its answer is later
 *   than the question, so no window holds both an attempt of the borrower and one that the lender makes afterwards.
 * - After that time the borrower returns what it has not used, and the lender counts only the rest.
 * A lost or late datagram can only make a loan count at the lender without being used.
 */

export interface AttemptLoansOptions {
  windowMs: number;
}

/** One borrowed attempt; one of its functions must be called once. */
export interface BorrowedAttempt {
  use(): void;
  /** The attempt was not made: it is available again until the loan expires. */
  release(): void;
}

/** A loan that has expired at the borrower. */
export interface ExpiredLoan {
  lender: string;
  number: number;
  unusedCount: number;
}

export interface AttemptLoans {
  /** Records a loan to another router; false if the router has had a loan of this number, or too many are recorded. */
  lend(loan: LentLoan, nowMs: number): boolean;
  /** Attempts of the service that are lent and count as used. */
  lentCount(serviceName: string, nowMs: number): number;
  /** A borrower returns the unused part of a loan; only the first return of a loan counts. */
  takeBack(borrower: string, number: number, unusedCount: number): void;
  /** Records a loan from another router. */
  borrow(loan: BorrowedLoan): void;
  /** Borrowed attempts of the service that can still be used at the given time. */
  borrowedCount(serviceName: string, atMs: number): number;
  takeBorrowed(serviceName: string, nowMs: number): BorrowedAttempt | undefined;
  /** Removes and returns the borrowed loans that have expired and have no attempt in progress. */
  takeExpired(nowMs: number): ExpiredLoan[];
}

export interface LentLoan {
  borrower: string;
  /** Identifies the loan among those of the borrower. */
  number: number;
  serviceName: string;
  count: number;
  lifetimeMs: number;
}

export interface BorrowedLoan {
  lender: string;
  number: number;
  serviceName: string;
  count: number;
  untilMs: number;
}

interface Lent {
  serviceName: string;
  count: number;
  untilMs: number;
  isReturned: boolean;
}

interface Borrowed extends BorrowedLoan {
  /** Attempts that are neither used nor in progress. */
  freeCount: number;
  inProgressCount: number;
}

/** Bounds the state for datagrams of unknown senders, too. */
const maxLoans = 512;

export function createAttemptLoans({ windowMs }: AttemptLoansOptions): AttemptLoans {
  /** Keyed by borrower and number. */
  const lent = new Map<string, Lent>();
  let borrowed: Borrowed[] = [];

  function dropEnded(nowMs: number): void {
    lent.forEach(({ untilMs }, key) => {
      if (untilMs <= nowMs) {
        lent.delete(key);
      }
    });
  }

  function lentCount(serviceName: string, nowMs: number): number {
    let sum = 0;
    lent.forEach((loan) => {
      if (loan.serviceName === serviceName && loan.untilMs > nowMs) {
        sum += loan.count;
      }
    });
    return sum;
  }

  const isUsable = (loan: Borrowed, serviceName: string, atMs: number) =>
    loan.serviceName === serviceName && loan.untilMs > atMs && loan.freeCount > 0;

  return {
    lend({ borrower, number, serviceName, count, lifetimeMs }, nowMs) {
      dropEnded(nowMs);
      const key = keyOf(borrower, number);
      if (lent.has(key) || lent.size >= maxLoans) {
        return false;
      }
      const untilMs = nowMs + lifetimeMs + windowMs;
      lent.set(key, { serviceName, count, untilMs, isReturned: false });
      return true;
    },
    lentCount,
    takeBack(borrower, number, unusedCount) {
      const loan = lent.get(keyOf(borrower, number));
      if (loan !== undefined && !loan.isReturned) {
        loan.isReturned = true;
        loan.count = Math.max(0, loan.count - unusedCount);
      }
    },
    borrow(loan) {
      if (borrowed.length < maxLoans) {
        borrowed.push({ ...loan, freeCount: loan.count, inProgressCount: 0 });
      }
    },
    borrowedCount: (serviceName, atMs) =>
      borrowed.reduce(
        (sum, loan) => sum + (isUsable(loan, serviceName, atMs) ? loan.freeCount : 0),
        0,
      ),
    takeBorrowed(serviceName, nowMs) {
      const loan = borrowed.find((each) => isUsable(each, serviceName, nowMs));
      if (loan === undefined) {
        return undefined;
      }
      loan.freeCount -= 1;
      loan.inProgressCount += 1;
      return {
        use() {
          loan.inProgressCount -= 1;
        },
        release() {
          loan.inProgressCount -= 1;
          loan.freeCount += 1;
        },
      };
    },
    takeExpired(nowMs) {
      const isEnded = ({ untilMs, inProgressCount }: Borrowed) =>
        untilMs <= nowMs && inProgressCount === 0;
      if (!borrowed.some(isEnded)) {
        return [];
      }
      const ended = borrowed.filter(isEnded);
      borrowed = borrowed.filter((loan) => !isEnded(loan));
      return ended.map(({ lender, number, freeCount }) => ({
        ...{ lender, number, unusedCount: freeCount },
      }));
    },
  };
}

function keyOf(borrower: string, number: number): string {
  return `${borrower} ${number}`;
}
