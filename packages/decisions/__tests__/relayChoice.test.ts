import test from 'ava';
import { chooseRelays } from '@bluebellhitch/decisions';

const routers = Array.from({ length: 17 }, (_, index) => `10.0.0.${index + 1}:7000`);
const choiceOf = (own: string, known: readonly string[] = routers) =>
  chooseRelays({ ownAddress: own, liveAddresses: known.filter((address) => address !== own) });

test('routers that know the same addresses choose the same relays', (t) => {
  const choices = routers.map((own) => [...choiceOf(own)].join(' '));
  t.is(new Set(choices).size, 1);
  t.is(choiceOf(routers[0] ?? '').length, 3);
});

test('each router watches for itself in a small shard', (t) => {
  t.deepEqual([...choiceOf('10.0.0.1:7000', routers.slice(0, 5))].sort(), routers.slice(0, 5));
  t.deepEqual(choiceOf('10.0.0.1:7000', []), ['10.0.0.1:7000']);
});

test('a relay that stops is replaced by one router, and the other relays stay', (t) => {
  const [first = '', ...rest] = choiceOf(routers[0] ?? '');
  const remaining = routers.filter((address) => address !== first);
  const next = choiceOf(remaining[0] ?? '', remaining);
  t.is(next.length, 3);
  t.deepEqual(
    rest.filter((address) => next.includes(address)),
    rest,
  );
});
