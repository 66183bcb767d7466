import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { formatFindings } from '@bluebellhitch/shared';
import { readInnerKeys, type InnerSecuritySettings } from '../src';

const first = { id: '2026-12', secret: 'first-secret-of-at-least-32-bytes-' };
const second = { id: '2026-11', secret: 'second:secret-of-at-least-32-bytes' };
const pairs = [first, second].map(({ id, secret }) => `${id}:${secret}`);

function findingsOf(settings: Partial<InnerSecuritySettings>): string {
  return formatFindings(readInnerKeys({ insecureInner: false, ...settings })._unsafeUnwrapErr());
}

test('reads the pairs in order; a secret may hold colons', (t) => {
  const choice = readInnerKeys({ innerKeys: pairs.join(', '), insecureInner: false });
  t.deepEqual(choice._unsafeUnwrap(), { kind: 'keys', keys: [first, second] });
});

test('reads a file with a pair on each line', async (t) => {
  const directory = await mkdtemp(join(tmpdir(), 'inner-keys-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const innerKeysFile = join(directory, 'keys');
  await writeFile(innerKeysFile, `${pairs.join('\n')}\n`);
  const choice = readInnerKeys({ innerKeysFile, insecureInner: false });
  t.deepEqual(choice._unsafeUnwrap(), { kind: 'keys', keys: [first, second] });
});

test('a process without keys starts only if that was requested', (t) => {
  t.regex(findingsOf({}), /--inner-keys \(BLUEBELL_INNER_KEYS\): is required/);
  t.deepEqual(readInnerKeys({ insecureInner: true })._unsafeUnwrap(), { kind: 'insecure' });
});

test('keys contradict insecureInner, and keys in two settings contradict each other', (t) => {
  t.regex(findingsOf({ innerKeys: pairs[0], insecureInner: true }), /contradicts/);
  t.regex(findingsOf({ innerKeysFile: '/nowhere', insecureInner: true }), /contradicts/);
  t.regex(findingsOf({ innerKeys: pairs[0], innerKeysFile: '/nowhere' }), /contradicts/);
});

test('all errors in the keys are reported together, without any secret', (t) => {
  const text = findingsOf({
    innerKeys: `${pairs[0]},a:short,onlyasecretwithoutitskeyidentifier,a:b`,
  });
  t.is(text.split('\n').length, 4);
  t.regex(text, /secret of pair 2 is shorter than 32 bytes/);
  t.regex(text, /pair 3 is not kid:secret/);
  t.regex(text, /pair 4 has the kid of an earlier one/);
  t.notRegex(text, /short,|onlyasecret|first-secret/);
});

test('an empty list and a missing file are findings', (t) => {
  t.regex(findingsOf({ innerKeys: ' , ' }), /holds no key/);
  t.regex(findingsOf({ innerKeysFile: '/nowhere/keys' }), /cannot be read/);
});
