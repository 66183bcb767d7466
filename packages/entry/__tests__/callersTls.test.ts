import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { once } from 'node:events';
import { connect as connectPlain } from 'node:net';
import { connect } from 'node:tls';
import test from 'ava';
import { Agent, fetch as undiciFetch } from 'undici';
import { createMemoryAccount, createReadTurns } from '@bluebellhitch/ports';
import { formatFindings } from '@bluebellhitch/shared';
import { readCallersTls } from '../src/callersTls';
import { createFakeAgent, words } from './support/fakeAgents';
import { startHarness } from './support/harness';

/** Path of the test-only certificate or key, which are files because Node cannot generate a certificate itself. */
const pathOf = (name: string) => fileURLToPath(new URL(`support/tls/${name}`, import.meta.url));
const callersTlsCertFile = pathOf('testOnlyCertificate.pem');
const callersTlsKeyFile = pathOf('testOnlyKey.pem');
const tls = readCallersTls({ callersTlsCertFile, callersTlsKeyFile })._unsafeUnwrap();
const ca = readFileSync(callersTlsCertFile, 'utf8');

const modelAgents = () => [
  createFakeAgent({ id: 'agent-1', service: 'draft-models' }),
  createFakeAgent({ id: 'agent-2', service: 'draft-models' }),
];
const completion = {
  method: 'POST',
  body: JSON.stringify({ model: 'draft-models', prompt: 'hello', max_tokens: 9 }),
};

test('serves callers over TLS that trust its certificate, and no others', async (t) => {
  const { address } = await startHarness(t, { agents: modelAgents(), tls });
  t.regex(address, /^https:/);
  const trustingAgent = new Agent({ connect: { ca } });
  t.teardown(() => trustingAgent.close());
  const response = await undiciFetch(`${address}/v1/completions`, {
    ...completion,
    dispatcher: trustingAgent,
  });
  t.like(await response.json(), { choices: [{ text: words.join('') }] });
  await t.throwsAsync(fetch(`${address}/v1/completions`, completion));
});

// A caller without TLS, and one that connects but never starts a TLS handshake, must get no response, must not keep
// their connection and must not terminate the process.
test('connections without TLS are closed', async (t) => {
  const { address } = await startHarness(t, {
    agents: modelAgents(),
    tls,
    limits: { slowSenderTimeoutMs: 1_000 },
  });
  const plain = address.replace('https', 'http');
  await t.throwsAsync(fetch(`${plain}/v1/completions`, completion));
  const idleSocket = connectPlain(Number(new URL(address).port), '127.0.0.1');
  t.teardown(() => idleSocket.destroy());
  idleSocket.resume();
  await once(idleSocket, 'close');
  const trustingAgent = new Agent({ connect: { ca } });
  t.teardown(() => trustingAgent.close());
  const models = await undiciFetch(`${address}/v1/models`, { dispatcher: trustingAgent });
  t.is(models.status, 200);
});

// The reset by which such a connection is closed is not possible behind TLS, and the error ended the process.
test('a connection that holds too much memory is closed behind TLS', async (t) => {
  const memory = createMemoryAccount({ bodies: 1_000_000, connections: 20_000 });
  const { address } = await startHarness(t, {
    agents: modelAgents(),
    tls,
    resources: { memory, turns: createReadTurns(), maxConnections: 100 },
    limits: { slowSenderTimeoutMs: 60_000 },
  });
  const { hostname, port } = new URL(address);
  const sockets = Array.from({ length: 4 }, () =>
    connect({ host: hostname, port: Number(port), ca }),
  );
  sockets.forEach((socket) => {
    t.teardown(() => socket.destroy());
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(`GET /v1/models HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(7_000)}`);
  });
  await Promise.any(sockets.map((socket) => once(socket, 'close')));
  sockets.forEach((socket) => socket.destroy());
  const trustingAgent = new Agent({ connect: { ca } });
  t.teardown(() => trustingAgent.close());
  const isServed = async () =>
    (await undiciFetch(`${address}/v1/models`, { dispatcher: trustingAgent })).status === 200;
  const endsAtMs = performance.now() + 5_000;
  let served = await isServed();
  while (!served && performance.now() < endsAtMs) {
    served = await isServed();
  }
  t.true(served);
});

// The connection limit marks sockets, and behind TLS the socket of a request is not the one that was accepted.
test('the connection limit applies behind TLS', async (t) => {
  const { address } = await startHarness(t, {
    agents: modelAgents(),
    tls,
    // The open connection sends no header, and must stay open for as long as the test takes.
    limits: { maxConnections: 1, slowSenderTimeoutMs: 60_000 },
  });
  const { hostname, port } = new URL(address);
  const openSocket = connect({ host: hostname, port: Number(port), ca });
  t.teardown(() => openSocket.destroy());
  await new Promise((resolve) => {
    openSocket.once('secureConnect', resolve);
  });
  const trustingAgent = new Agent({ connect: { ca } });
  t.teardown(() => trustingAgent.close());
  const refused = await undiciFetch(`${address}/v1/models`, { dispatcher: trustingAgent });
  t.is(refused.status, 503);
  t.like(await refused.json(), { notRun: true });
});

test('missing, unreadable and mismatched files are findings', (t) => {
  const findingsOf = (settings: Parameters<typeof readCallersTls>[0]) =>
    formatFindings(readCallersTls(settings)._unsafeUnwrapErr());
  t.is(readCallersTls({})._unsafeUnwrap(), undefined);
  t.regex(findingsOf({ callersTlsCertFile }), /--callers-tls-key-file .*: is required/);
  t.regex(findingsOf({ callersTlsKeyFile: '/nowhere', callersTlsCertFile }), /cannot be read/);
  t.regex(
    findingsOf({ callersTlsCertFile, callersTlsKeyFile: callersTlsCertFile }),
    /does not work with the key/,
  );
});
