import test from 'ava';
import * as z from 'zod';
import { environmentName, flagName, formatFindings, resolveSettings } from '@bluebellhitch/shared';

const definitions = {
  innerPort: {
    schema: z.coerce.number().int().min(0).max(65_535),
    description: 'Port of the inner protocol.',
    defaultText: '0',
  },
  platformUrl: { schema: z.url(), description: 'Address of the platform.' },
  instanceId: { schema: z.string().min(1), description: 'Name of this instance.' },
};

function resolve(argv: string[], env: Record<string, string> = {}) {
  return resolveSettings({
    binaryName: 'bluebell-sample',
    version: '0.0.0',
    description: 'A sample.',
    definitions,
    argv,
    env,
  });
}

test('a flag takes precedence over the environment, and the environment over the default', async (t) => {
  const env = { BLUEBELL_PLATFORM_URL: 'http://127.0.0.1:1', BLUEBELL_INSTANCE_ID: 'from-env' };
  const settings = (await resolve(['--instance-id', 'from-flag'], env))._unsafeUnwrap();
  t.deepEqual(settings, {
    innerPort: 0,
    platformUrl: 'http://127.0.0.1:1',
    instanceId: 'from-flag',
  });
});

test('all findings are reported together, each with the name of its setting', async (t) => {
  const findings = (await resolve(['--inner-port', '70000', '--colour', 'red']))._unsafeUnwrapErr();
  const text = formatFindings(findings);
  t.is(findings.length, 4);
  t.regex(text, /--inner-port \(BLUEBELL_INNER_PORT\)/);
  t.regex(text, /--platform-url \(BLUEBELL_PLATFORM_URL\)/);
  t.regex(text, /--instance-id/);
  t.regex(text, /--colour: unknown setting/);
});

test('names of flags and variables are derived from the name of the setting', (t) => {
  t.is(environmentName('kvLinkRate'), 'BLUEBELL_KV_LINK_RATE');
  t.is(flagName('kvLinkRate'), '--kv-link-rate');
});

// `--switch` without a value means true. An empty variable must not, because scripts pass unset values this way.
test('only the flag of a switch may be given without a value', async (t) => {
  const options = {
    binaryName: 'bluebell-sample',
    version: '0.0.0',
    description: 'A sample.',
    definitions: {
      insecureInner: {
        schema: z.enum(['true', 'false']),
        description: 'A switch.',
        defaultText: 'false',
        isSwitch: true,
      },
    },
  };
  const valueOf = async (argv: string[], env = {}) =>
    (await resolveSettings({ ...options, argv, env })).map(({ insecureInner }) => insecureInner);
  t.is((await valueOf(['--insecure-inner']))._unsafeUnwrap(), 'true');
  t.is((await valueOf(['--insecure-inner=false']))._unsafeUnwrap(), 'false');
  t.is((await valueOf([]))._unsafeUnwrap(), 'false');
  t.true((await valueOf([], { BLUEBELL_INSECURE_INNER: '' })).isErr());
});
