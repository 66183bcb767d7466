import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { SignJWT } from 'jose';
import { createTokenSigner } from '../src/tokenSigner';
import { createTokenVerifier } from '../src/tokenVerifier';

const oldKey = { id: 'old', secret: 'the-old-secret-of-at-least-32-bytes' };
const newKey = { id: 'new', secret: 'the-new-secret-of-at-least-32-bytes' };
const issuer = 'entry-1';

function signWith(secret: string, kid: string, claims: Record<string, unknown>): Promise<string> {
  return new SignJWT(claims)
    .setProtectedHeader({ alg: 'HS256', kid })
    .sign(Buffer.from(secret))
    .then((token) => `Bearer ${token}`);
}

const inOneMinute = () => Math.floor(Date.now() / 1000) + 60;

test('a token is accepted for its own audience only', async (t) => {
  const { accepts } = createTokenVerifier({ keys: [oldKey] });
  const bearer = await createTokenSigner({ key: oldKey, issuer }).bearer('agent');
  t.false(await accepts(bearer, 'feed'));
  t.true(await accepts(bearer, 'agent'));
  // The token is cached by now; the cached result must also apply to its own audience only.
  t.false(await accepts(bearer, 'feed'));
  t.true(await accepts(bearer, 'agent'));
});

test('missing and malformed tokens are refused', async (t) => {
  const { accepts, cachedCount } = createTokenVerifier({ keys: [oldKey] });
  const values = [undefined, '', 'Bearer ', 'Bearer a.b.c', 'Basic dXNlcjpwYXNz', 'Bearer'];
  const verdicts = await Promise.all(values.map(async (value) => accepts(value, 'agent')));
  t.deepEqual(
    verdicts,
    values.map(() => false),
  );
  t.is(cachedCount(), 0);
});

test('a token signed with an unknown secret is refused, even under a known key id', async (t) => {
  const { accepts } = createTokenVerifier({ keys: [oldKey] });
  const foreignKey = { id: oldKey.id, secret: 'a-secret-that-the-fleet-does-not-have' };
  t.false(
    await accepts(await createTokenSigner({ key: foreignKey, issuer }).bearer('agent'), 'agent'),
  );
  t.false(await accepts(await createTokenSigner({ key: newKey, issuer }).bearer('agent'), 'agent'));
});

// An unsigned token states the algorithm `none`; a token with a changed payload keeps the original signature.
test('unsigned and modified tokens are refused', async (t) => {
  const { accepts } = createTokenVerifier({ keys: [oldKey] });
  const encode = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64url');
  const claims = { iss: issuer, aud: 'agent', exp: inOneMinute() };
  const unsigned = `Bearer ${encode({ alg: 'none', kid: oldKey.id })}.${encode(claims)}.`;
  t.false(await accepts(unsigned, 'agent'));
  const bearer = await createTokenSigner({ key: oldKey, issuer }).bearer('feed');
  const [head, , signature] = bearer.split('.');
  t.false(await accepts([head, encode(claims), signature].join('.'), 'agent'));
});

test('a token must carry an issuer and an expiry', async (t) => {
  const { accepts } = createTokenVerifier({ keys: [oldKey] });
  const sign = (claims: Record<string, unknown>) => signWith(oldKey.secret, oldKey.id, claims);
  t.false(await accepts(await sign({ aud: 'agent', exp: inOneMinute() }), 'agent'));
  t.false(await accepts(await sign({ aud: 'agent', iss: issuer }), 'agent'));
  t.true(await accepts(await sign({ aud: 'agent', iss: issuer, exp: inOneMinute() }), 'agent'));
});

// A key is rotated in steps: every process learns the new key, then all sign with it, then the old key is removed.
// During each step some processes are still at the previous one, and all must accept each other's tokens.
test('tokens stay valid throughout a key rotation', async (t) => {
  const steps = [[oldKey], [oldKey, newKey], [newKey, oldKey], [newKey]] as const;
  const pairs = steps.slice(1).flatMap((step, index) => {
    const before = steps[index] ?? step;
    return [
      { signing: before[0], keys: step },
      { signing: step[0], keys: before },
    ];
  });
  const verdicts = await Promise.all(
    pairs.map(async ({ signing, keys }) =>
      createTokenVerifier({ keys }).accepts(
        await createTokenSigner({ key: signing, issuer }).bearer('agent'),
        'agent',
      ),
    ),
  );
  t.deepEqual(
    verdicts,
    pairs.map(() => true),
  );
  const retired = await createTokenSigner({ key: oldKey, issuer }).bearer('agent');
  t.false(await createTokenVerifier({ keys: [newKey] }).accepts(retired, 'agent'));
});

// A token that was captured in transit must soon become useless, whether the verifier has cached it or not.
test.serial('an expired token is refused, whether it is cached or not', async (t) => {
  const clock = fakeTimers.install({ toFake: ['Date', 'performance'] });
  t.teardown(() => clock.uninstall());
  const known = createTokenVerifier({ keys: [oldKey] });
  const bearer = await createTokenSigner({ key: oldKey, issuer }).bearer('agent');
  t.true(await known.accepts(bearer, 'agent'));
  clock.tick(68_000);
  t.true(await known.accepts(bearer, 'agent'));
  t.true(await createTokenVerifier({ keys: [oldKey] }).accepts(bearer, 'agent'));
  clock.tick(4_000);
  t.false(await known.accepts(bearer, 'agent'));
  t.false(await createTokenVerifier({ keys: [oldKey] }).accepts(bearer, 'agent'));
});

test.serial('a process signs one token per audience every 30 seconds', async (t) => {
  const clock = fakeTimers.install({ toFake: ['Date', 'performance'] });
  t.teardown(() => clock.uninstall());
  const { bearer } = createTokenSigner({ key: oldKey, issuer });
  const first = await bearer('agent');
  t.not(await bearer('feed'), first);
  clock.tick(29_000);
  t.is(await bearer('agent'), first);
  clock.tick(1_000);
  t.not(await bearer('agent'), first);
});

test.serial('the verifier removes expired tokens and limits the size of its cache', async (t) => {
  const clock = fakeTimers.install({ toFake: ['Date', 'performance'] });
  t.teardown(() => clock.uninstall());
  const { accepts, cachedCount } = createTokenVerifier({ keys: [oldKey], maxCached: 3 });
  const acceptOne = async (name: string) =>
    accepts(await createTokenSigner({ key: oldKey, issuer: name }).bearer('agent'), 'agent');
  await ['a', 'b', 'c', 'd'].reduce(
    (earlier, name) =>
      earlier.then(async () => {
        t.true(await acceptOne(name));
      }),
    Promise.resolve(),
  );
  t.is(cachedCount(), 3);
  clock.tick(71_000);
  t.true(await acceptOne('e'));
  t.is(cachedCount(), 1);
});
