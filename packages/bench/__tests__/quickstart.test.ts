import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { readMetric, streamCompletion, type StreamOutcome } from './helpers/callers';
import {
  eventually,
  freePorts,
  isRunning,
  shareQuickstart,
  startQuickstart,
  type Quickstart,
} from './helpers/quickstart';

const prompt = 'Draft a maturity notice for a series EE bond bought in May 1994.';
const longResponseTokens = 250;
/** Time in which npm forwards a signal; far more than it takes. */
const forwardingMs = 50;

/** Shared by the tests up to the one that stops it gracefully. */
const plannedStop = shareQuickstart('npm');
/** Shared by the tests that kill a plain service, then an engine, and stop the rest gracefully. */
const lostServers = shareQuickstart();
test.after.always(() => Promise.all([plannedStop.end(), lostServers.end()]));

function startLongResponses(address: string, count: number): Promise<StreamOutcome>[] {
  return Array.from({ length: count }, (_, index) =>
    streamCompletion({
      address,
      prompt: `${prompt} Copy ${index}.`,
      maxTokens: longResponseTokens,
    }),
  );
}

/** Finds a decode worker that is streaming responses; returns its name without the suffix of its agent. */
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

function isNotTruncated(outcome: StreamOutcome): boolean {
  return outcome.kind !== 'truncated';
}

test.serial('--once shows a streamed completion and a plain lookup and exits 0', async (t) => {
  const quickstart = startQuickstart(['--once']);
  t.teardown(quickstart.end);

  t.is(await quickstart.exited, 0);
  const output = quickstart.lines.join('\n');
  t.regex(output, /data: \[DONE\]/);
  t.regex(output, /GET \/balance\/4711/);
  // The runtime took the listeners of one response for a leak, and each new user saw it.
  t.notRegex(output, /Warning/);
  t.false(quickstart.processes.some(({ pid }) => isRunning(pid)));
});

test.serial('--once works with the other institution as well', async (t) => {
  const quickstart = startQuickstart(['--once', '--example', 'sahlat']);
  t.teardown(quickstart.end);

  t.is(await quickstart.exited, 0);
  const output = quickstart.lines.join('\n');
  t.regex(output, /data: \[DONE\]/);
  t.regex(output, /GET \/dispatch\/truck-31/);
});

test.serial('the same prompt gets the same output, and max_tokens is honoured', async (t) => {
  const quickstart = plannedStop.get();
  const [address = ''] = await quickstart.ready;
  const outcomes = await Promise.all(
    [1, 2].map(() => streamCompletion({ address, prompt, maxTokens: 20 })),
  );
  const longer = await streamCompletion({ address, prompt, maxTokens: 40 });

  const texts = [...outcomes, longer].map((one) => (one.kind === 'complete' ? one.text : one.kind));
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

test.serial('SIGTERM finishes responses in progress, exits 0 and leaves no process', async (t) => {
  // A planned stop while callers read streamed responses. The entry stops first and waits for its streams, which
  // need the agents and engines until then. Stopping all processes at once would truncate the streams.
  const quickstart = plannedStop.get();
  const [address = ''] = await quickstart.ready;
  const responses = startLongResponses(address, 4);
  await findDecodingWorker(quickstart);
  process.kill(quickstart.pid, 'SIGTERM');

  const outcomes = await Promise.all(responses);
  t.deepEqual(
    outcomes.map(({ kind }) => kind),
    ['complete', 'complete', 'complete', 'complete'],
  );
  t.is(await quickstart.exited, 0);
  t.false(quickstart.processes.some(({ pid }) => isRunning(pid)));
});

test.serial(
  'Ctrl-C that arrives twice, as under npm, finishes responses in progress',
  async (t) => {
    // The terminal signals the script and npm, which forwards it: the second one was taken for a wish to stop at once.
    const quickstart = startQuickstart();
    t.teardown(quickstart.end);
    const [address = ''] = await quickstart.ready;
    const responses = startLongResponses(address, 4);
    await findDecodingWorker(quickstart);
    process.kill(quickstart.pid, 'SIGINT');
    await delay(forwardingMs);
    process.kill(quickstart.pid, 'SIGINT');

    const outcomes = await Promise.all(responses);
    t.deepEqual(
      outcomes.map(({ kind }) => kind),
      ['complete', 'complete', 'complete', 'complete'],
    );
    t.is(await quickstart.exited, 0);
  },
);

(['node', 'npm'] as const).forEach((launcher) => {
  test.serial(`no process is left when the start by ${launcher} is killed`, async (t) => {
    // The script or its parent npm is killed by SIGKILL and cannot stop the other processes. Each must notice that
    // its parent is gone; otherwise a dozen of them keep their ports, and the next start fails.
    const quickstart = startQuickstart([], launcher);
    t.teardown(quickstart.end);
    await quickstart.ready;
    process.kill(quickstart.pid, 'SIGKILL');

    t.true(await eventually(() => quickstart.processes.every(({ pid }) => !isRunning(pid))));
  });
});

test.serial('the start exits with one line that names a port in use', async (t) => {
  // Another process, such as a forgotten quickstart, listens on the admin port of an agent. The start must exit
  // with code 1 and one line before it starts any process; otherwise the failure of one agent would appear seconds
  // later among the output of a dozen other processes.
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

/** Kills a process while six responses are streamed, and waits for their outcomes. */
async function killWhileStreaming(
  t: ExecutionContext,
  quickstart: Quickstart,
  resolveProcessName: (worker: string) => string,
): Promise<StreamOutcome[]> {
  const [address = ''] = await quickstart.ready;
  const responses = startLongResponses(address, 6);
  const victim = quickstart.processNamed(resolveProcessName(await findDecodingWorker(quickstart)));
  process.kill(victim.pid, 'SIGKILL');
  const outcomes = await Promise.all(responses);
  t.log(victim.name, outcomes.map(({ kind }) => kind).join(' '));
  t.true(outcomes.every(isNotTruncated), victim.name);
  return outcomes;
}

function doesNextRequestWork(address: string): Promise<boolean> {
  return eventually(async () => {
    const outcome = await streamCompletion({ address, prompt, maxTokens: 5 });
    return outcome.kind === 'complete';
  });
}

test.serial('a plain service continues after the loss of an instance', async (t) => {
  // A backend server dies; its agent survives and refuses requests as not run. Each lookup must reach the remaining
  // instance, the first one by a retry. An entry that keeps choosing the dead server soon uses up its retry budget,
  // and callers get status 503 although a server is idle.
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

test.serial('no stream is truncated when an engine dies', async (t) => {
  // An engine is killed while it streams responses; its agent survives. Each caller gets a complete response, which
  // another engine continued, or an error event, but never a truncated stream that ends normally. The next request
  // works, because other engines are free, and the agent can still be stopped gracefully.
  const quickstart = lostServers.get();
  const [address = ''] = await quickstart.ready;
  await killWhileStreaming(t, quickstart, (worker) => worker);

  t.true(await doesNextRequestWork(address), 'the next request');
  process.kill(quickstart.pid, 'SIGTERM');
  t.true(await eventually(() => !isRunning(quickstart.pid)), 'a stop within 10 s');
  t.is(await quickstart.exited, 0);
});

test.serial('no stream is truncated when an agent, the platform or an entry dies', async (t) => {
  // First an agent is killed: its streams end complete or with an error event, and the next request uses another
  // agent. Then the platform: requests in progress are not affected, new ones use the last accepted documents, and
  // only those that must not be repeated are refused as not run, because it cannot be ensured that they run only
  // once. Last an entry: its callers get a connection error, and the other entry continues to serve.
  const quickstart = startQuickstart(['--entries', '2']);
  t.teardown(quickstart.end);
  const [firstAddress = '', secondAddress = ''] = await quickstart.ready;
  await killWhileStreaming(t, quickstart, (worker) => `${worker}-agent`);
  t.true(await doesNextRequestWork(firstAddress), 'after the agent');

  const platformOutcomes = await killWhileStreaming(t, quickstart, () => 'platform');
  t.true(
    platformOutcomes.every(({ kind }) => kind === 'complete'),
    'without the platform',
  );
  t.true(await doesNextRequestWork(firstAddress), 'after the platform');
  const claimed = await streamCompletion({
    address: firstAddress,
    prompt,
    maxTokens: 5,
    headers: { 'x-no-repeat': 'true', 'idempotency-key': 'letter-1' },
  });
  t.is(claimed.kind, 'error');
  t.regex(claimed.kind === 'error' ? claimed.detail : '', /"notRun":true/);

  const entryOutcomes = await killWhileStreaming(t, quickstart, () => 'entry-1');
  t.true(
    entryOutcomes.every(({ kind }) => kind === 'broken'),
    'callers of the killed entry',
  );
  t.true(await doesNextRequestWork(secondAddress), 'after the entry');
});
