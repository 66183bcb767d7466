import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { createAttemptLoans } from '@bluebellhitch/decisions';
import { decodeAttemptMessage, type AttemptMessage } from '@bluebellhitch/protocol';
import {
  createAttemptBudget,
  createAttemptExchange,
  type AttemptBudget,
  type AttemptExchange,
} from '@bluebellhitch/routing';
import { createSeededRandom, monotonicNowMs } from '@bluebellhitch/shared';
import { createLogger } from '@bluebellhitch/telemetry';

const windowMs = 10_000;
const lifetimeMs = 2_000;
const allowance = 6;
const logger = createLogger({ binary: 'test', instanceId: 'test', write: () => undefined });

interface Router {
  budget: AttemptBudget;
  exchange: AttemptExchange;
}

interface Fleet {
  clock: Clock;
  routers: Router[];
  sent: { message: AttemptMessage; bytes: number; from: number; to: number }[];
  /** Loses the datagrams of this kind sent from now on. */
  loseKind(kind: AttemptMessage['kind']): void;
  setTransitMs(transitMs: number): void;
  restart(index: number): void;
}

/** Creates routers that have been running for a window, each with an allowance of six and no requests. */
function withFleet(count: number, check: (fleet: Fleet) => void): void {
  const clock = FakeTimers.install();
  const random = createSeededRandom(7);
  const addresses = Array.from({ length: count }, (_none, index) => `10.0.0.${index + 1}:7400`);
  const sent: Fleet['sent'] = [];
  const lostKinds = new Set<string>();
  let transitMs = 2;
  function start(index: number): Router {
    const loans = createAttemptLoans({ windowMs });
    const budget = createAttemptBudget({
      ...{ ratio: 0.2, windowMs, loans, startedAtMs: monotonicNowMs() },
      allowance: () => ({ initial: 1, full: allowance }),
      onLow: (serviceName) => exchange.noteLow(serviceName),
    });
    const exchange = createAttemptExchange({
      channel: () => ({
        address: addresses[index] as string,
        async send(bytes, [to]) {
          const message = decodeAttemptMessage(bytes) as AttemptMessage;
          const toIndex = addresses.indexOf(to as string);
          sent.push({ message, bytes: bytes.length, from: index, to: toIndex });
          if (!lostKinds.has(message.kind)) {
            setTimeout(() => routers[toIndex]?.exchange.receive(message), transitMs);
          }
        },
        livePeers: () => addresses.filter((_address, other) => other !== index),
      }),
      ...{ loans, budget, lifetimeMs, logger, random },
    });
    return { budget, exchange };
  }
  const routers = addresses.map((_address, index) => start(index));
  try {
    clock.tick(windowMs);
    check({
      ...{ clock, routers, sent },
      loseKind: (kind) => lostKinds.add(kind),
      setTransitMs(next) {
        transitMs = next;
      },
      restart(index) {
        routers[index]?.exchange.close();
        routers[index] = start(index);
      },
    });
  } finally {
    routers.forEach(({ exchange }) => exchange.close());
    clock.uninstall();
  }
}

/** Takes attempts until none is left; returns how many. */
function takeAll({ budget }: Router): number {
  let count = 0;
  while (budget.tryTake('s', monotonicNowMs())) {
    count += 1;
  }
  return count;
}

function takeAllFor(fleet: Fleet, index: number, durationMs: number): number {
  let count = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    count += takeAll(fleet.routers[index] as Router);
    fleet.clock.tick(50);
  }
  return count;
}

test.serial('a router whose attempts are used up uses those that others leave', (t) => {
  // With 24 routers each has a few attempts, while those of the others lie idle.
  withFleet(4, (fleet) => {
    const used = takeAllFor(fleet, 0, 5_000);
    t.true(used > allowance, `${used}`);
    const left = fleet.routers.slice(1).map((router) => takeAll(router));
    t.true(left.every((count) => count >= 1));
    t.true(used + left.reduce((sum, count) => sum + count) <= 4 * allowance);
  });
});

test.serial('a router alone has its own attempts only, and sends nothing', (t) => {
  withFleet(1, (fleet) => {
    t.is(takeAllFor(fleet, 0, windowMs - 50), allowance);
    t.is(fleet.sent.length, 0);
  });
});

test.serial('a router that has just started borrows, and does not lend', (t) => {
  // What its predecessor has lent may still be used, and it does not know of it.
  withFleet(2, (fleet) => {
    fleet.restart(0);
    t.true(takeAllFor(fleet, 0, 1_000) > 2);
    fleet.restart(1);
    const sentBefore = fleet.sent.length;
    takeAllFor(fleet, 0, windowMs - 100);
    const answers = fleet.sent
      .slice(sentBefore)
      .flatMap(({ message }) => (message.kind === 'attempt-answer' ? [message.lentCount] : []));
    t.true(answers.length > 0 && answers.every((lentCount) => lentCount === 0));
  });
});

test.serial('an answer that is lost or late costs attempts, and adds none', (t) => {
  const total = (fleet: Fleet) => takeAllFor(fleet, 0, 5_000) + takeAll(fleet.routers[1] as Router);
  withFleet(2, (fleet) => {
    fleet.loseKind('attempt-answer');
    t.is(takeAllFor(fleet, 0, 5_000), allowance);
    t.true(takeAll(fleet.routers[1] as Router) < allowance);
  });
  withFleet(2, (fleet) => {
    fleet.setTransitMs(lifetimeMs);
    t.is(takeAllFor(fleet, 0, 5_000), allowance);
    t.true(takeAll(fleet.routers[1] as Router) < allowance);
  });
  withFleet(2, (fleet) => {
    t.true(total(fleet) <= 2 * allowance);
  });
});

test.serial('what was not used comes back to the lender, unless the return is lost', (t) => {
  function leftAtLender(hasReturn: boolean): number {
    let left = 0;
    withFleet(2, (fleet) => {
      if (!hasReturn) {
        fleet.loseKind('attempt-return');
      }
      const [borrower, lender] = fleet.routers as [Router, Router];
      Array.from({ length: allowance - 1 }, () => borrower.budget.tryTake('s', monotonicNowMs()));
      fleet.clock.tick(lifetimeMs + 1_000);
      left = takeAll(lender);
    });
    return left;
  }
  t.is(leftAtLender(true), allowance);
  t.true(leftAtLender(false) < allowance);
});

test.serial(
  'questions stay within the bytes for control when attempts are short everywhere',
  (t) => {
    const count = 40;
    const durationMs = 9_000;
    withFleet(count, (fleet) => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
        fleet.routers.forEach((router) => takeAll(router));
        fleet.clock.tick(50);
      }
      const headerBytes = 28;
      const bytes = fleet.sent.reduce((sum, each) => sum + each.bytes + headerBytes, 0);
      const perSecond = bytes / count / (durationMs / 1_000);
      t.true(perSecond < 700, `${perSecond} bytes per second and router`);
    });
  },
);
