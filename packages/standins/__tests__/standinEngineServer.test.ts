import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { createHttpEngineClient, type EngineChunk } from '@bluebellhitch/engine';
import {
  createStandinEngineServer,
  expectedOutput,
  type StandinEngineServerOptions,
} from '@bluebellhitch/standins';

const model = 'standin-model';
const prompt = 'casing '.repeat(60);
const quick = { stepBaseMs: 1, prefillBaseMs: 5 };

async function startEngine(t: ExecutionContext, options: StandinEngineServerOptions = {}) {
  const server = await createStandinEngineServer({ ...quick, ...options });
  const client = createHttpEngineClient({ address: server.address, callTimeoutMs: 5000 });
  t.teardown(async () => {
    await client.close();
    server.destroy();
  });
  return { server, client };
}

function decodeInput(attemptId: string, change = {}) {
  const input = { attemptId, model, prompt, imported: false, maxOutputTokens: 60, priority: 5 };
  return { ...input, ...change };
}

async function collect(chunks: AsyncIterable<EngineChunk>): Promise<EngineChunk[]> {
  const collected: EngineChunk[] = [];
  for await (const chunk of chunks) {
    collected.push(chunk);
  }
  return collected;
}

function textOf(chunks: EngineChunk[]): string {
  return chunks.map((chunk) => (chunk.kind === 'token' ? chunk.text : '')).join('');
}

test('prefill, transfer and decode over HTTP give the expected text', async (t) => {
  const source = await startEngine(t, { exportKeptForMs: 60_000 });
  const target = await startEngine(t);
  const input = { attemptId: 'p', model, prompt, priority: 5 };
  const { exportId } = (await source.client.prefill(input))._unsafeUnwrap();
  const transfer = { attemptId: 'd', kvAddress: source.server.address, exportId };
  const imported = await target.client.importKv(
    { ...transfer, rateBytesPerSecond: 1e10 },
    () => undefined,
  );
  t.true(imported._unsafeUnwrap().done);
  const opened = await target.client.decode(decodeInput('d', { imported: true }));
  const chunks = await collect(opened._unsafeUnwrap());
  t.is(textOf(chunks), expectedOutput(prompt, model, 60).text());
  t.is(chunks.at(-1)?.kind, 'end');
  t.deepEqual((await target.client.streams())._unsafeUnwrap(), []);
  t.true((await source.client.exportKv(exportId, 'drop')).isOk());
  const stats = (await (await request(`${target.server.address}/stats`)).body.json()) as {
    startedDecodes: Record<string, number>;
  };
  t.deepEqual(stats.startedDecodes, { d: 1 });
});

test('a stream whose reader has disconnected runs on until it is cancelled', async (t) => {
  // The agent dies in the middle of a stream. Like some real engines, this one does not notice: the memory
  // stays held until the next agent process reads the list of holdings and cancels.
  const { client } = await startEngine(t, { stepBaseMs: 10 });
  const controller = new AbortController();
  const opened = await client.decode(decodeInput('a'), controller.signal);
  await opened._unsafeUnwrap()[Symbol.asyncIterator]().next();
  controller.abort();
  const held = (await client.streams())._unsafeUnwrap();
  t.deepEqual(
    held.map(({ attemptId, phase }) => [attemptId, phase]),
    [['a', 'decode']],
  );
  t.true((await client.cancel('a')).isOk());
  t.deepEqual((await client.streams())._unsafeUnwrap(), []);
});

test('a crash ends streams without an end chunk and refuses connections', async (t) => {
  // The process dies while it streams. The next call cannot connect, so it is known not to have started.
  const { server, client } = await startEngine(t);
  const opened = await client.decode(decodeInput('a'));
  const reading = collect(opened._unsafeUnwrap());
  const control = await request(`${server.address}/control`, {
    method: 'POST',
    body: JSON.stringify({ crash: true }),
  }).catch(() => undefined);
  await control?.body.dump().catch(() => undefined);
  t.true((await reading).every(({ kind }) => kind === 'token'));
  t.is((await client.load())._unsafeUnwrapErr().kind, 'not-started');
});

test('a cancel whose response is lost takes effect before the connection breaks', async (t) => {
  const { server, client } = await startEngine(t, { stepBaseMs: 10 });
  await client.decode(decodeInput('a'));
  server.engine.control({ loseCancelAnswers: true });
  t.is((await client.cancel('a'))._unsafeUnwrapErr().kind, 'died');
  t.deepEqual((await client.streams())._unsafeUnwrap(), []);
});
