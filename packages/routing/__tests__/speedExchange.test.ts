import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { decodeSpeedMessage, type EstimateKind, type SpeedMessage } from '@bluebellhitch/protocol';
import { createSpeedExchange, type SpeedExchange } from '@bluebellhitch/routing';

const addresses = ['10.0.0.1:7400', '10.0.0.2:7400'] as const;
const logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

interface Pair {
  clock: Clock;
  routers: readonly [SpeedExchange, SpeedExchange];
  /** Datagrams of the first router. */
  sent: Buffer[];
  /** Drops the first router's datagrams while set. */
  network: { isLossy: boolean };
  /** Other peers that the first router sends to. */
  otherPeers: string[];
}

/** Creates two routers that list the servers a, b and c; datagrams arrive immediately. */
function withPair(check: (pair: Pair) => void): void {
  const clock = FakeTimers.install();
  const sent: Buffer[] = [];
  const network = { isLossy: false };
  const otherPeers: string[] = [];
  const make = (own: 0 | 1): SpeedExchange =>
    createSpeedExchange({
      channel: () => ({
        address: addresses[own],
        async send(bytes) {
          const message = decodeSpeedMessage(bytes);
          if (own === 0) {
            sent.push(bytes);
          }
          if (message !== undefined && !(own === 0 && network.isLossy)) {
            routers[1 - own]?.receive(message);
          }
        },
        livePeers: () => [addresses[1 - own] as string, ...(own === 0 ? otherPeers : [])],
      }),
      logger,
    });
  const routers: [SpeedExchange, SpeedExchange] = [make(0), make(1)];
  try {
    routers.forEach((router) => ['a', 'b', 'c'].forEach(router.noteListed));
    check({ clock, routers, sent, network, otherPeers });
  } finally {
    routers.forEach((router) => router.close());
    clock.uninstall();
  }
}

/** Adds some samples of the server a, as one alone shows little. */
function observe(router: SpeedExchange, kind: EstimateKind, value: number): void {
  Array.from({ length: 3 }, () => router.of(kind).observe('a', value));
}

const isNear = (value: number | undefined, expected: number) =>
  Math.abs((value ?? 0) / expected - 1) < 0.01;

test('a peer knows an estimate within about a second', (t) => {
  withPair(({ clock, routers: [first, second] }) => {
    observe(first, 'prefillSpeed', 55);
    observe(first, 'decodePace', 31);
    clock.tick(1_000);
    t.true(isNear(second.of('prefillSpeed').estimate('a'), 55));
    t.true(isNear(second.of('decodePace').estimate('a'), 31));
    t.is(second.of('prefillSpeed').estimate('b'), undefined);
  });
});

test('a notable change is told within milliseconds', (t) => {
  withPair(({ clock, routers: [first, second] }) => {
    Array.from({ length: 5 }, () => first.of('prefillSpeed').observe('a', 55));
    clock.tick(1_000);
    observe(first, 'prefillSpeed', 8);
    observe(first, 'prefillSpeed', 8);
    clock.tick(20);
    t.true((second.of('prefillSpeed').estimate('a') ?? 55) < 55 / 1.5);
  });
});

/** Guards against bytes that are spent at once on news that could wait. */
test('an estimate that becomes known with its second sample is not sent at once', (t) => {
  withPair(({ clock, routers: [first], sent }) => {
    first.of('prefillSpeed').observe('a', 55);
    clock.tick(1_000);
    const sentBefore = sent.length;
    observe(first, 'prefillSpeed', 55);
    clock.tick(20);
    t.is(sent.length, sentBefore);
  });
});

/** Guards against peers that never learn of a server whose only message was lost. */
test('a lost message is made up for by the next', (t) => {
  withPair(({ clock, routers: [first, second], network }) => {
    network.isLossy = true;
    observe(first, 'prefillSpeed', 55);
    clock.tick(1_000);
    t.is(second.of('prefillSpeed').estimate('a'), undefined);
    network.isLossy = false;
    clock.tick(1_000);
    t.true(isNear(second.of('prefillSpeed').estimate('a'), 55));
  });
});

test('nothing is sent while there are no new samples', (t) => {
  withPair(({ clock, routers: [first], sent }) => {
    observe(first, 'prefillSpeed', 55);
    clock.tick(10_000);
    t.is(sent.length, 2);
    t.deepEqual(
      sent.map((bytes) => bytes.length),
      [27, 27],
    );
  });
});

/** Guards against control traffic that grows with the fleet. */
test('40 routers and 2,900 engines: a node sends at most 1,500 bytes a second', (t) => {
  withPair(({ clock, routers: [first], sent, otherPeers }) => {
    otherPeers.push(...Array.from({ length: 38 }, (_none, n) => `10.0.1.${n}:7400`));
    const ids = Array.from({ length: 2_900 }, (_none, n) => `engine-${n}`);
    ids.forEach(first.noteListed);
    Array.from({ length: 60 }, (_second, second) => {
      ids.forEach((id, n) => first.of('prefillSpeed').observe(id, 30 + ((n + second) % 60)));
      ids.forEach((id, n) => first.of('decodePace').observe(id, 30 + ((n + second) % 60)));
      clock.tick(1_000);
    });
    const bytes = sent.reduce((sum, { length }) => sum + length * 39, 0);
    t.true(bytes > 30_000);
    t.true(bytes <= 60 * 1_500 + 3_000);
  });
});

/** Guards against choices by the speed of an engine that no longer exists. */
test('a removed server is forgotten, and late rows on it are ignored', (t) => {
  withPair(({ clock, routers: [first, second] }) => {
    observe(first, 'prefillSpeed', 55);
    second.forget('a');
    clock.tick(1_000);
    t.is(second.of('prefillSpeed').estimate('a'), undefined);
    observe(second, 'prefillSpeed', 55);
    t.is(second.of('prefillSpeed').estimate('a'), undefined);
  });
});

test('what a peer told is dropped when it times out', (t) => {
  withPair(({ clock, routers: [first, second] }) => {
    observe(first, 'prefillSpeed', 55);
    clock.tick(1_000);
    second.dropPeer(addresses[0]);
    t.is(second.of('prefillSpeed').estimate('a'), undefined);
  });
});

/** Guards against forged datagrams, and against late ones that replace newer rows. */
test('messages of strangers and outdated messages are ignored', (t) => {
  withPair(({ clock, routers: [first, second], sent }) => {
    observe(first, 'prefillSpeed', 55);
    clock.tick(1_000);
    const [early] = sent.flatMap((bytes) => decodeSpeedMessage(bytes) ?? []);
    Array.from({ length: 20 }, () => first.of('prefillSpeed').observe('a', 20));
    clock.tick(1_000);
    const before = second.of('prefillSpeed').estimate('a');
    second.receive(early as SpeedMessage);
    const forged = { ...(early as SpeedMessage), senderAddress: '10.9.9.9:7400', sequence: 99 };
    second.receive(forged);
    t.is(second.of('prefillSpeed').estimate('a'), before);
    t.true((before ?? 55) < 30);
  });
});

test('values that are no speed are not learned', (t) => {
  withPair(({ routers: [first] }) => {
    [0, -1, NaN].forEach((value) => first.of('prefillSpeed').observe('a', value));
    t.is(first.of('prefillSpeed').estimate('a'), undefined);
  });
});
