import { readdirSync, readFileSync } from 'node:fs';
import test from 'ava';
import { parsePattern } from '@bluebellhitch/replay';

const folder = new URL('../patterns/', import.meta.url);

test('all patterns are well-formed', (t) => {
  const names = readdirSync(folder);
  t.true(names.length > 0);
  names.forEach((name) => {
    const parsed = parsePattern(readFileSync(new URL(name, folder), 'utf8'));
    t.true(parsed.isOk(), name);
  });
});

test('each fault of a pattern is told with its place', (t) => {
  const text = readFileSync(new URL('burst.yaml', folder), 'utf8');
  const broken = text.replace('seconds: 26', 'seconds: none').replace('decode: 6', 'decoders: 6');
  const places = parsePattern(broken)
    ._unsafeUnwrapErr()
    .map(({ path }) => path);
  t.true(places.includes('seconds'));
  t.true(places.some((path) => path.startsWith('engines')));
  t.is(parsePattern('{').isErr(), true);
});
