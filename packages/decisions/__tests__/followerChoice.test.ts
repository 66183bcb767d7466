import test from 'ava';
import { chooseFollowers } from '@bluebellhitch/decisions';

const routers = Array.from({ length: 17 }, (_none, n) => `10.0.0.${n + 1}:7000`);
const choiceOf = (own: string, heard: readonly string[] = routers) =>
  chooseFollowers({ ownAddress: own, liveAddresses: heard.filter((address) => address !== own) });

test('routers that hear the same ones choose the same few', (t) => {
  const choices = routers.map((own) => [...choiceOf(own)].join(' '));
  t.is(new Set(choices).size, 1);
  t.is(choiceOf(routers[0] ?? '').length, 3);
});

test('each follows for itself where few are heard', (t) => {
  t.deepEqual([...choiceOf('10.0.0.1:7000', routers.slice(0, 5))].sort(), routers.slice(0, 5));
  t.deepEqual(choiceOf('10.0.0.1:7000', []), ['10.0.0.1:7000']);
});

test('one that stops is replaced by one, and the others stay', (t) => {
  const [first = '', ...rest] = choiceOf(routers[0] ?? '');
  const left = routers.filter((address) => address !== first);
  const next = choiceOf(left[0] ?? '', left);
  t.is(next.length, 3);
  t.deepEqual(
    rest.filter((address) => next.includes(address)),
    rest,
  );
});
