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

test('each error in a pattern is reported with its path', (t) => {
  const text = readFileSync(new URL('burst.yaml', folder), 'utf8');
  const invalid = text.replace('seconds: 26', 'seconds: none').replace('decode: 6', 'decoders: 6');
  const paths = parsePattern(invalid)
    ._unsafeUnwrapErr()
    .map(({ path }) => path);
  t.true(paths.includes('seconds'));
  t.true(paths.some((path) => path.startsWith('engines')));
  t.is(parsePattern('{').isErr(), true);
});
