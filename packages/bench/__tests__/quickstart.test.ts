import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { readMetric, streamCompletion, type StreamEnd } from './helpers/callers';
import {
  eventually,
  freePorts,
  isRunning,
  shareQuickstart,
  startQuickstart,
  type Quickstart,
} from './helpers/quickstart';

const prompt = 'Draft a maturity notice for a series EE bond bought in May 1994.';
const longAnswerTokens = 250;

/** Serves the tests up to the one that stops it; started by the first that runs. */
const plannedStop = shareQuickstart('npm');
/** Loses a plain service, then an engine, and is then stopped. */
const lostServers = shareQuickstart();
test.after.always(() => Promise.all([plannedStop.end(), lostServers.end()]));

function startLongAnswers(address: string, count: number): Promise<StreamEnd>[] {
  return Array.from({ length: count }, (_, index) =>
    streamCompletion({
      address,
      prompt: `${prompt} Copy ${index}.`,
      maxTokens: longAnswerTokens,
    }),
  );
}

/** Name of a decode worker, without the suffix of its agent, that streams answers right now. */
async function findDecodingWorker(quickstart: Quickstart): Promise<string> {
  const agents = quickstart.processes.filter(
    ({ name, pid }) => /-decode-\d+-agent$/.test(name) && isRunning(pid),
  );
  const found: string[] = [];
  await eventually(async () => {
    const counts = await Promise.all(
      agents.map(({ addresses }) =>
        readMetric(addresses.adminAddress ?? '', 'bluebell_engine_leases{state="decoding"}'),
      ),
    );
    const busy = agents[counts.findIndex((count) => count > 0)];
    found.push(...(busy === undefined ? [] : [busy.name.replace(/-agent$/, '')]));
    return found.length > 0;
  });
  return found[0] ?? 'no worker is decoding';
}

function isHonest(end: StreamEnd): boolean {
  return end.kind !== 'truncated';
}

test.serial('--once shows a streamed completion and a plain lookup and exits 0', async (t) => {
  const quickstart = startQuickstart(['--once']);
  t.teardown(quickstart.end);

  t.is(await quickstart.exited, 0);
  const output = quickstart.lines.join('\n');
  t.regex(output, /data: \[DONE\]/);
  t.regex(output, /GET \/balance\/4711/);
  t.false(quickstart.processes.some(({ pid }) => isRunning(pid)));
});

test.serial('the other institution works as well', async (t) => {
  const quickstart = startQuickstart(['--once', '--example', 'sahlat']);
  t.teardown(quickstart.end);

  t.is(await quickstart.exited, 0);
  const output = quickstart.lines.join('\n');
  t.regex(output, /data: \[DONE\]/);
  t.regex(output, /GET \/dispatch\/truck-31/);
});

test.serial('the same prompt has the same answer, and max_tokens is honoured', async (t) => {
  const quickstart = plannedStop.get();
  const [address = ''] = await quickstart.ready;
  const ends = await Promise.all(
    [1, 2].map(() => streamCompletion({ address, prompt, maxTokens: 20 })),
  );
  const longer = await streamCompletion({ address, prompt, maxTokens: 40 });

  const texts = [...ends, longer].map((end) => (end.kind === 'whole' ? end.text : end.kind));
  t.is(texts[0], texts[1]);
  t.true(texts[2]?.startsWith(texts[0] ?? '-'));
  t.true((texts[2] ?? '').length > (texts[0] ?? '').length);

  const unmarked = await streamCompletion({
    address,
    prompt,
    maxTokens: 20,
    headers: { 'x-no-repeat': 'true' },
  });
  t.is(unmarked.kind, 'error');
  t.regex(unmarked.kind === 'error' ? unmarked.detail : '', /"status":400/);
});

test.serial('SIGTERM finishes answers in progress, exits 0 and leaves nothing', async (t) => {
  // A planned stop while callers read their answers. The entry stops first and waits for its streams;
  // the agents and engines under them must still be there. Stopping all at once would cut them off.
  const quickstart = plannedStop.get();
  const [address = ''] = await quickstart.ready;
  const answers = startLongAnswers(address, 4);
  await findDecodingWorker(quickstart);
  process.kill(quickstart.pid, 'SIGTERM');

  const ends = await Promise.all(answers);
  t.deepEqual(
    ends.map(({ kind }) => kind),
    ['whole', 'whole', 'whole', 'whole'],
  );
  t.is(await quickstart.exited, 0);
  t.false(quickstart.processes.some(({ pid }) => isRunning(pid)));
});

(['node', 'npm'] as const).forEach((launcher) => {
  test.serial(`nothing is left when the start by ${launcher} is killed`, async (t) => {
    // The script dies by SIGKILL, or npm above it does, and can stop nothing. Every process must notice
    // that its parent is gone; else a dozen of them keep their ports, and the next start fails.
    const quickstart = startQuickstart([], launcher);
    t.teardown(quickstart.end);
    await quickstart.ready;
    process.kill(quickstart.pid, 'SIGKILL');

    t.true(await eventually(() => quickstart.processes.every(({ pid }) => !isRunning(pid))));
  });
});

test.serial('a port in use ends the start with one line that names it', async (t) => {
  // Something else listens where an agent's admin port would be, as a forgotten quickstart does. The
  // start ends at once with exit code 1 and one line, before any process runs; else the failure of one
  // agent shows up seconds later, among the output of a dozen others.
  const server = createServer().listen(0, '127.0.0.1');
  t.teardown(() => server.close());
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const quickstart = startQuickstart([], 'node', {
    ...freePorts,
    BLUEBELL_ADMIN_PORT: String(port - 1),
  });
  t.teardown(quickstart.end);

  t.is(await quickstart.exited, 1);
  t.deepEqual(quickstart.processes, []);
  const [, ...afterBuild] = quickstart.lines;
  t.is(afterBuild.length, 1);
  t.regex(afterBuild[0] ?? '', new RegExp(`^EADDRINUSE: 127\\.0\\.0\\.1 port (\\d+, )*${port}\\b`));
});

/** Kills a process while six answers stream, and waits for their ends. */
async function killWhileAnswering(
  t: ExecutionContext,
  quickstart: Quickstart,
  nameOf: (worker: string) => string,
): Promise<StreamEnd[]> {
  const [address = ''] = await quickstart.ready;
  const answers = startLongAnswers(address, 6);
  const victim = quickstart.processNamed(nameOf(await findDecodingWorker(quickstart)));
  process.kill(victim.pid, 'SIGKILL');
  const ends = await Promise.all(answers);
  t.log(victim.name, ends.map(({ kind }) => kind).join(' '));
  t.true(ends.every(isHonest), victim.name);
  return ends;
}

function nextRequestWorks(address: string): Promise<boolean> {
  return eventually(async () => {
    const end = await streamCompletion({ address, prompt, maxTokens: 5 });
    return end.kind === 'whole';
  });
}

test.serial('a plain service goes on with one instance fewer', async (t) => {
  // A counter's backend server dies; its agent lives on and refuses as not run. Each lookup must reach
  // the instance that is left, the first one by a retry. An entry that keeps choosing the dead one
  // soon spends its retry budget, and customers at the counter see 503 while a server is idle.
  const quickstart = lostServers.get();
  const [address = ''] = await quickstart.ready;
  const lookUp = async () => (await fetch(`${address}/balance/4711`)).status;
  t.is(await lookUp(), 200);
  process.kill(quickstart.processNamed('counter-app-plain-1').pid, 'SIGKILL');

  const statuses = [];
  for (let count = 0; count < 20; count += 1) {
    statuses.push(await lookUp());
  }
  t.deepEqual(
    statuses.filter((status) => status !== 200),
    [],
  );
});

test.serial('an engine may die', async (t) => {
  // An engine is killed while it streams answers; its agent lives on. Each caller sees a whole answer,
  // continued elsewhere, or an error event, never a stream that ends as if it were whole. The next
  // request works, because other engines are free, and the agent can still be stopped gracefully.
  const quickstart = lostServers.get();
  const [address = ''] = await quickstart.ready;
  await killWhileAnswering(t, quickstart, (worker) => worker);

  t.true(await nextRequestWorks(address), 'the next request');
  process.kill(quickstart.pid, 'SIGTERM');
  t.true(await eventually(() => !isRunning(quickstart.pid)), 'a stop within 10 s');
  t.is(await quickstart.exited, 0);
});

test.serial('an agent, the platform and an entry may die', async (t) => {
  // First an agent dies under its streams: whole answers, error events, and the next request goes
  // elsewhere. Then the platform: nothing in progress notices, new requests run on the last accepted
  // documents, and only those that must not be repeated are refused as not run, since nothing could
  // prove that they run once. Last an entry: its callers see a broken connection, the other serves.
  const quickstart = startQuickstart(['--entries', '2']);
  t.teardown(quickstart.end);
  const [firstAddress = '', secondAddress = ''] = await quickstart.ready;
  await killWhileAnswering(t, quickstart, (worker) => `${worker}-agent`);
  t.true(await nextRequestWorks(firstAddress), 'after the agent');

  const platformEnds = await killWhileAnswering(t, quickstart, () => 'platform');
  t.true(
    platformEnds.every(({ kind }) => kind === 'whole'),
    'without the platform',
  );
  t.true(await nextRequestWorks(firstAddress), 'after the platform');
  const claimed = await streamCompletion({
    address: firstAddress,
    prompt,
    maxTokens: 5,
    headers: { 'x-no-repeat': 'true', 'idempotency-key': 'letter-1' },
  });
  t.is(claimed.kind, 'error');
  t.regex(claimed.kind === 'error' ? claimed.detail : '', /"notRun":true/);

  const entryEnds = await killWhileAnswering(t, quickstart, () => 'entry-1');
  t.true(
    entryEnds.every(({ kind }) => kind === 'broken'),
    'callers of the killed entry',
  );
  t.true(await nextRequestWorks(secondAddress), 'after the entry');
});
