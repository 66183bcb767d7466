import test from 'ava';
import { resolveSettings } from '@bluebellhitch/shared';
import { agentSettings } from '../src/settings';

const required = {
  BLUEBELL_INSTANCE_ID: 'agent-1',
  BLUEBELL_DATA_CENTRE: 'tacoma-hall',
  BLUEBELL_SERVICE: 'draft-models',
  BLUEBELL_BACKEND_URL: 'http://127.0.0.1:9000',
  BLUEBELL_PLATFORM_URL: 'http://127.0.0.1:9001',
};

function resolve(env: Record<string, string>, argv: string[] = []) {
  return resolveSettings({
    binaryName: 'bluebell-agent',
    version: '0',
    description: '',
    definitions: agentSettings,
    argv,
    env,
  });
}

test('resolves flags before the environment before defaults', async (t) => {
  const settings = (await resolve(required, ['--instance-id', 'agent-2']))._unsafeUnwrap();
  t.like(settings, { instanceId: 'agent-2', backendKind: 'model', innerHost: '127.0.0.1' });
  t.is(settings.innerPort, 0);
  t.is(settings.role, undefined);
});

test('reports all findings together', async (t) => {
  const resolved = await resolve({ BLUEBELL_BACKEND_URL: 'http://engine.local:80' }, [
    '--inner-port',
    '70000',
  ]);
  const findings = resolved._unsafeUnwrapErr();
  t.deepEqual(
    findings.map(({ path }) => path.split(' ')[0]),
    [
      '--instance-id',
      '--data-centre',
      '--service',
      '--backend-url',
      '--platform-url',
      '--inner-port',
    ],
  );
});
