import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { decodeQuotaMessage } from '@bluebellhitch/protocol';
import {
  createQuotaExchange,
  quotaUnits,
  type CallerRequest,
  type QuotaExchange,
  type Workspace,
} from '@bluebellhitch/routing';

const bonds: Workspace = {
  name: 'bonds',
  keyDigests: [],
  quota: { unit: quotaUnits.tokens, ratePerSecond: 1_000, burst: 4_000, plainTokens: 200 },
};
const slack = { windowMs: 8_000, overageShare: 0.1, amount: 40_000 };
const model = { prompt: { promptTokens: 900, maxOutputTokens: 100 } } as CallerRequest;
const plain = {} as CallerRequest;

interface Pair {
  clock: Clock;
  routers: readonly [QuotaExchange, QuotaExchange];
  /** Sent datagrams, indexed by sender. */
  sent: Buffer[][];
}

/** Creates two routers that already know each other; datagrams arrive immediately. */
function withPair(check: (pair: Pair) => void): void {
  const clock = FakeTimers.install();
  const addresses = ['10.0.0.1:7400', '10.0.0.2:7400'] as const;
  const sent: Buffer[][] = [[], []];
  const make = (own: 0 | 1): QuotaExchange =>
    createQuotaExchange({
      channel: () => ({
        address: addresses[own],
        async send(bytes) {
          sent[own]?.push(bytes);
          const message = decodeQuotaMessage(bytes);
          if (message !== undefined) {
            routers[1 - own]?.receive(message);
          }
        },
        livePeers: () => [addresses[1 - own] as string],
      }),
      slack,
    });
  const routers: [QuotaExchange, QuotaExchange] = [make(0), make(1)];
  const exchangeContacts = () =>
    routers.forEach((router, own) => router.noteContact(addresses[1 - own] as string));
  try {
    routers.forEach((router, own) => router.setRouters([addresses[1 - own] as string], 2));
    [0, 1, 2].forEach(() => {
      exchangeContacts();
      clock.tick(1_000);
    });
    exchangeContacts();
    routers.forEach((router) => router.setWorkspaces([bonds]));
    check({ clock, routers, sent });
  } finally {
    routers.forEach((router) => router.close());
    clock.uninstall();
  }
}

test('what one router admits is deducted at the other within milliseconds', (t) => {
  withPair(({ clock, routers: [first, second] }) => {
    t.is(first.charge(bonds, model).kind, 'charged');
    t.is(first.charge(bonds, model).kind, 'charged');
    clock.tick(5);
    t.is(second.charge(bonds, model).kind, 'charged');
    clock.tick(5);
    t.is(second.charge(bonds, model).kind, 'charged');
    clock.tick(5);
    t.is(second.charge(bonds, model).kind, 'limited');
    t.is(first.charge(bonds, model).kind, 'limited');
  });
});

test('a plain request costs what the workspace states, and is refunded if it has not run', (t) => {
  withPair(({ routers: [first] }) => {
    const outcomes = Array.from({ length: 20 }, () => first.charge(bonds, plain));
    t.true(outcomes.every(({ kind }) => kind === 'charged'));
    t.is(first.charge(bonds, plain).kind, 'limited');
    const [one] = outcomes;
    if (one?.kind === 'charged') {
      one.charge.refund();
    }
    t.is(first.charge(bonds, plain).kind, 'charged');
  });
});

test('a workspace without a quota is neither limited nor announced', (t) => {
  withPair(({ clock, routers: [first], sent }) => {
    const before = sent[0]?.length;
    const open = { ...bonds, name: 'open', quota: undefined };
    const outcomes = Array.from({ length: 100 }, () => first.charge(open, model));
    t.true(outcomes.every(({ kind }) => kind === 'charged'));
    clock.tick(2_000);
    t.is(sent[0]?.length, before);
  });
});

test('an outdated message changes nothing, whatever order messages arrive in', (t) => {
  withPair(({ clock, routers: [first, second], sent }) => {
    first.charge(bonds, model);
    clock.tick(5);
    const old = decodeQuotaMessage(sent[0]?.at(-1) ?? Buffer.alloc(0));
    first.charge(bonds, model);
    clock.tick(5);
    if (old !== undefined) {
      second.receive(old);
    }
    t.is(second.charge(bonds, model).kind, 'charged');
    clock.tick(5);
    t.is(second.charge(bonds, model).kind, 'charged');
    t.is(second.charge(bonds, model).kind, 'limited');
  });
});
