import test from 'ava';
import { request } from 'undici';
import {
  createStandinPlainService,
  createStandinWeightStore,
  createWeightReader,
} from '@bluebellhitch/standins';

test('readers of the weight store share its rate', async (t) => {
  const store = await createStandinWeightStore({ rateBytesPerSecond: 1e9, weightBytes: 1e8 });
  t.teardown(store.destroy);
  const read = createWeightReader(store.address);
  const startMs = performance.now();
  const results = await Promise.all([read('a', '1'), read('b', '1')]);
  t.true(results.every((result) => result.isOk()));
  t.true(performance.now() - startMs >= 195);
});

test('the plain service counts each run of a write', async (t) => {
  const service = await createStandinPlainService();
  t.teardown(service.destroy);
  const post = () =>
    request(`${service.address}/receipts`, {
      method: 'POST',
      headers: { 'idempotency-key': 'k1' },
      body: 'receipt',
    }).then(({ body }) => body.json());
  t.deepEqual(await post(), { idempotencyKey: 'k1', runCount: 1, received: 'receipt' });
  t.like(await post(), { runCount: 2 });
  t.deepEqual(service.stats(), { routes: { 'POST /receipts': 2 }, runsByKey: { k1: 2 } });
});

test('the plain service echoes and streams', async (t) => {
  const service = await createStandinPlainService();
  t.teardown(service.destroy);
  const echo = await request(`${service.address}/echo`, { method: 'POST', body: 'text' });
  t.is(await echo.body.text(), 'text');
  const stream = await request(`${service.address}/stream?chunks=3&ms=1`);
  t.is(await stream.body.text(), 'line 0\nline 1\nline 2\n');
});

test('a crash of the plain service breaks the connection of its caller', async (t) => {
  // Later callers cannot connect.
  const service = await createStandinPlainService();
  await t.throwsAsync(request(`${service.address}/crash`));
  await t.throwsAsync(request(`${service.address}/balance/1`), { code: 'ECONNREFUSED' });
});
