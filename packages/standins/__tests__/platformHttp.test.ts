import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createInterface } from 'node:readline';
import test, { type ExecutionContext } from 'ava';
import { createHttpPlatformClient } from '@bluebellhitch/objects';
import { startStandinPlatform, type StartStandinPlatformOptions } from '@bluebellhitch/standins';

async function start(t: ExecutionContext, options: StartStandinPlatformOptions = {}) {
  const running = await startStandinPlatform(options);
  const client = createHttpPlatformClient({ address: running.address, timeoutMs: 20_000 });
  t.teardown(async () => {
    await client.close();
    await running.close();
  });
  return { client, address: running.address, control: running.platform.control };
}

test('objects are created, read, updated and removed by version', async (t) => {
  const { client } = await start(t);
  const created = (await client.create('claim', 'a/b c', { n: 1 }))._unsafeUnwrap();
  t.deepEqual((await client.create('claim', 'a/b c', {}))._unsafeUnwrapErr(), {
    kind: 'conflict',
    current: created,
  });
  const updated = (
    await client.update('claim', 'a/b c', created.version, { n: 2 })
  )._unsafeUnwrap();
  t.true(updated.version > created.version);
  t.deepEqual((await client.get('claim', 'a/b c'))._unsafeUnwrap(), updated);
  t.is(
    (await client.remove('claim', 'a/b c', created.version))._unsafeUnwrapErr().kind,
    'conflict',
  );
  t.true((await client.remove('claim', 'a/b c', updated.version)).isOk());
  t.is((await client.get('claim', 'a/b c'))._unsafeUnwrapErr().kind, 'not-found');
});

test('a watch returns at the next change, and reports compaction to an old cursor', async (t) => {
  const { client, control } = await start(t);
  const { cursor } = (await client.list('accepted'))._unsafeUnwrap();
  const waiting = client.watch('accepted', cursor, 5000);
  await client.create('claim', 'other-kind', {});
  const created = (await client.create('accepted', 'draft-models', {}))._unsafeUnwrap();
  const reply = (await waiting)._unsafeUnwrap();
  t.deepEqual(reply.events, [{ kind: 'put', object: created }]);
  control.compact();
  t.true((await client.watch('accepted', cursor, 0))._unsafeUnwrap().compacted);
});

// The platform applies a write, and the connection breaks before the response. The client must report the
// outcome as unknown, but a refused connection or an outage as without effect: whether a claim is kept or
// released depends on that difference.
test('a lost response is an unknown outcome, and a refusal is not', async (t) => {
  const { client, address, control } = await start(t);
  control.loseResponses({ count: 1, verb: 'create', effect: 'applied' });
  t.is((await client.create('claim', 'k', {}))._unsafeUnwrapErr().kind, 'unknown-outcome');
  t.true((await client.get('claim', 'k')).isOk());
  const shortTimeoutClient = createHttpPlatformClient({ address, timeoutMs: 300 });
  control.setSlow(10_000);
  t.is(
    (await shortTimeoutClient.create('claim', 'slow', {}))._unsafeUnwrapErr().kind,
    'unknown-outcome',
  );
  t.is((await shortTimeoutClient.get('claim', 'k'))._unsafeUnwrapErr().kind, 'unavailable');
  await shortTimeoutClient.close();
  control.clearFaults();
  control.setOutage(true);
  t.is((await client.create('claim', 'out', {}))._unsafeUnwrapErr().kind, 'unavailable');
  const refused = createHttpPlatformClient({ address: 'http://127.0.0.1:1' });
  t.is((await refused.create('claim', 'k', {}))._unsafeUnwrapErr().kind, 'unavailable');
  await refused.close();
});

test('rates and value sizes are limited', async (t) => {
  const { client } = await start(t, { writesPerSecond: 1, maxValueBytes: 100 });
  const startedAtMs = performance.now();
  const keys = Array.from({ length: 20 }, (_none, index) => `key-${index}`);
  const writes = await Promise.all(keys.map((key) => client.create('claim', key, {})));
  // The initial token, and one more for each second that the writes took on a busy machine.
  const maxAllowed = 1 + (performance.now() - startedAtMs) / 1_000;
  const allowed = writes.filter((write) => write.isOk()).length;
  t.true(allowed >= 1 && allowed <= maxAllowed, `${allowed} of ${maxAllowed}`);
  const refusals = writes.filter((write) => write.isErr());
  t.true(refusals.every((write) => write._unsafeUnwrapErr().kind === 'rate-limited'));
  const other = await start(t, { maxValueBytes: 100 });
  const rejected = await other.client.create('claim', 'big', 'x'.repeat(200));
  t.is(rejected._unsafeUnwrapErr().kind, 'rejected');
});

test('the control endpoints change instances and faults', async (t) => {
  const running = await startStandinPlatform();
  t.teardown(() => running.close());
  const send = (method: string, path: string, body?: unknown) =>
    fetch(`${running.address}/control/${path}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
  const instance = { kind: 'entry', dataCentre: 'salem-hall', innerAddress: 'x', state: 'live' };
  t.is((await send('PUT', 'instances/entry-1', instance)).status, 200);
  t.is((await send('POST', 'instances/entry-1/leaving')).status, 200);
  const client = createHttpPlatformClient({ address: running.address });
  t.is((await client.instances())._unsafeUnwrap()[0]?.state, 'leaving');
  await send('DELETE', 'instances/entry-1');
  t.deepEqual((await client.instances())._unsafeUnwrap(), []);
  t.is((await send('POST', 'outage', { on: true })).status, 200);
  t.is((await client.instances())._unsafeUnwrapErr().kind, 'unavailable');
  const stats = (await (await send('GET', 'stats')).json()) as { calls: { instances: number } };
  t.is(stats.calls.instances, 3);
  await client.close();
});

// Guards against a waiting watch, which can take a minute, delaying the exit of the process.
test('the binary prints its address and exits with 0 on SIGTERM despite a waiting watch', async (t) => {
  const script = new URL('../src/bin/standinPlatform.ts', import.meta.url).pathname;
  const child = spawn(process.execPath, ['--import=tsx', '--conditions=bluebell-source', script], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  const { message, context } = JSON.parse(line) as {
    message: string;
    context: { address: string };
  };
  t.is(message, 'listening');
  const client = createHttpPlatformClient({ address: context.address });
  const { cursor } = (await client.list('lease'))._unsafeUnwrap();
  const waiting = client.watch('lease', cursor, 60_000);
  child.kill('SIGTERM');
  t.deepEqual(await once(child, 'exit'), [0, null]);
  await waiting;
  await client.close();
});

test('an odd entry of the list of instances does not hide the others', async (t) => {
  // The whole list was unreadable then: entries kept the last one for as long as it lasted, and new ones never became ready.
  const sound = {
    ...{ id: 'agent-1', kind: 'agent', service: 's', dataCentre: 'salem-hall', state: 'live' },
    innerAddress: 'http://10.0.0.1:80',
  };
  const nested = `${'['.repeat(50_000)}${']'.repeat(50_000)}`;
  const odd = [
    ...['null', '7', '"text"', '{}', nested, `{"id":${nested}}`, '{"__proto__":{"id":"a"}}'],
    ...[{ id: 1e300 }, { id: '' }, { kind: 'other' }, { innerAddress: 80 }, { state: 'gone' }].map(
      (over) => JSON.stringify({ ...sound, ...over }),
    ),
  ];
  const body = `[${[...odd, JSON.stringify(sound)].join(',')}]`;
  const server = createServer((_incoming, outgoing) => outgoing.end(body));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createHttpPlatformClient({ address: `http://127.0.0.1:${port}` });
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  t.deepEqual((await client.instances())._unsafeUnwrap(), [sound]);
});
