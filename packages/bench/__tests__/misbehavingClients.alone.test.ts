/**
 * Clients that keep to no limit at each port of an entry and of an agent: no process ends, each stays within the memory of its
 * machine, and an ordinary completion and an ordinary lookup are answered.
 */
import test, { type ExecutionContext } from 'ava';
import {
  encodeChunk,
  endless,
  headAndBytes,
  inOrder,
  once,
  startCrowd,
  unendedChunks,
  watchProcess,
  type CrowdOptions,
} from '@bluebellhitch/standins';
import { streamCompletion } from './helpers/callers';
import { eventually, isRunning, startQuickstart, type Quickstart } from './helpers/quickstart';

interface CrowdCase extends Pick<CrowdOptions, 'clientCount' | 'partsOf'> {
  name: string;
  processName: string;
  /** Name of the address in the line that the process prints. */
  port: string;
}

const bytesPerMegabyte = 1_048_576;
const entry = 'entry-1';
const engineAgent = 'draft-models-decode-1-agent';
const plainAgent = 'counter-app-plain-1-agent';
/** Memory of the users' machines today, by the name of a process. */
const memoryBytes: Record<string, number> = {
  [entry]: 200 * bytesPerMegabyte,
  [engineAgent]: 282 * bytesPerMegabyte,
  [plainAgent]: 282 * bytesPerMegabyte,
};
const patientMs = 60_000;
const maxBodyBytes = 4_194_304;
const chunked = 'Transfer-Encoding: chunked';
const callers = { processName: entry, port: 'callersAddress' };
const entryInner = { processName: entry, port: 'innerAddress' };
const entryAdmin = { processName: entry, port: 'adminAddress' };
const agentInner = { processName: engineAgent, port: 'innerAddress' };
const agentAdmin = { processName: engineAgent, port: 'adminAddress' };
const plainInner = { processName: plainAgent, port: 'innerAddress' };

function head(method: string, target: string, ...headers: readonly string[]): string {
  return [`${method} ${target} HTTP/1.1`, 'Host: a.example', ...headers, '\r\n'].join('\r\n');
}

const completion = head('POST', '/v1/chat/completions', chunked);

function wholeCompletion({ stream }: { stream: boolean }): string {
  const body = JSON.stringify({
    ...{ model: 'draft-models', stream, max_tokens: 10 },
    messages: [{ role: 'user', content: 'Draft a maturity notice.' }],
  });
  const headers = ['Content-Type: application/json', 'X-Institution: halloran-voss'];
  return `${head('POST', '/v1/chat/completions', ...headers, `Content-Length: ${body.length}`)}${body}`;
}

const cases: readonly CrowdCase[] = [
  {
    ...callers,
    name: 'completions in chunks of one byte that stop short of their end',
    clientCount: 20,
    partsOf: () => unendedChunks(completion, 1, 200_000),
  },
  {
    ...callers,
    name: 'completions in chunks of 64 KB that stop short of their end',
    clientCount: 100,
    partsOf: () => unendedChunks(completion, 65_535, 64),
  },
  {
    ...callers,
    name: 'completions with a length that stop short of their end',
    clientCount: 100,
    partsOf: () =>
      headAndBytes(
        head('POST', '/v1/chat/completions', `Content-Length: ${maxBodyBytes}`),
        maxBodyBytes - 1,
      ),
  },
  {
    ...callers,
    name: 'plain bodies in chunks of one byte that stop short of their end',
    clientCount: 20,
    partsOf: () => unendedChunks(head('POST', '/echo', chunked), 1, 200_000),
  },
  {
    ...callers,
    name: 'requests ahead to no route, their answers unread',
    clientCount: 20,
    partsOf: () => endless(head('GET', '/none')),
  },
  {
    ...callers,
    name: 'requests ahead for the list of models, their answers unread',
    clientCount: 20,
    partsOf: () => endless(head('GET', '/v1/models')),
  },
  {
    ...callers,
    name: 'requests ahead that a server answers, their answers unread',
    clientCount: 20,
    partsOf: () => endless(head('GET', '/balance/1')),
  },
  {
    ...callers,
    name: 'completions ahead that are answered, their answers unread',
    clientCount: 50,
    partsOf: () => once(wholeCompletion({ stream: false }).repeat(300)),
  },
  {
    ...callers,
    name: 'completions ahead that are streamed, their answers unread',
    clientCount: 50,
    partsOf: () => once(wholeCompletion({ stream: true }).repeat(300)),
  },
  {
    ...callers,
    name: 'requests ahead without a host, their answers unread',
    clientCount: 100,
    partsOf: () => endless('GET / HTTP/1.1\r\n\r\n'),
  },
  {
    ...callers,
    name: 'heads just below the limit that do not end',
    clientCount: 900,
    partsOf: () => once(`GET /balance/1 HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(15_000)}`),
  },
  {
    ...entryInner,
    name: 'calls whose bodies do not end',
    clientCount: 50,
    partsOf: () => unendedChunks(head('POST', '/trpc/strike', chunked), 65_535, 64),
  },
  {
    ...entryInner,
    name: 'calls in chunks of one byte that do not end',
    clientCount: 50,
    partsOf: () => inOrder(once(head('POST', '/trpc/strike', chunked)), endless(encodeChunk(1))),
  },
  {
    ...entryInner,
    name: 'requests ahead, their answers unread',
    clientCount: 50,
    partsOf: () => endless(head('GET', '/none')),
  },
  {
    ...entryAdmin,
    name: 'requests ahead for the metrics, their answers unread',
    clientCount: 50,
    partsOf: () => endless(head('GET', '/metrics')),
  },
  {
    ...agentInner,
    name: 'streams in chunks of one byte that stop short of their end',
    clientCount: 20,
    partsOf: () => unendedChunks(head('POST', '/streams', chunked), 1, 200_000),
  },
  {
    ...agentInner,
    name: 'streams in chunks of 64 KB that stop short of their end',
    clientCount: 50,
    partsOf: () => unendedChunks(head('POST', '/streams', chunked), 65_535, 200),
  },
  {
    ...agentInner,
    name: 'calls whose bodies do not end',
    clientCount: 50,
    partsOf: () => unendedChunks(head('POST', '/trpc/reserve', chunked), 65_535, 200),
  },
  {
    ...agentInner,
    name: 'calls in chunks of one byte that do not end',
    clientCount: 50,
    partsOf: () => inOrder(once(head('POST', '/trpc/reserve', chunked)), endless(encodeChunk(1))),
  },
  {
    ...agentInner,
    name: 'requests ahead, their answers unread',
    clientCount: 50,
    partsOf: () => endless(head('GET', '/none')),
  },
  {
    ...agentAdmin,
    name: 'requests ahead for the metrics, their answers unread',
    clientCount: 50,
    partsOf: () => endless(head('GET', '/metrics')),
  },
  {
    ...plainInner,
    name: 'plain calls ahead, their answers unread',
    clientCount: 50,
    partsOf: () => endless(head('GET', '/plain/balance/1')),
  },
];

async function expectServed(t: ExecutionContext, address: string, when: string): Promise<void> {
  let last = '';
  const isServed = async () => {
    const [completed, lookedUp] = await Promise.all([
      streamCompletion({ address, prompt: 'Draft a maturity notice.', maxTokens: 10 }).then(
        ({ kind }) => kind,
        String,
      ),
      fetch(`${address}/balance/4711`, { headers: { 'x-institution': 'halloran-voss' } }).then(
        ({ status }) => String(status),
        String,
      ),
    ]);
    last = `${completed}, ${lookedUp}`;
    return completed === 'complete' && lookedUp === '200';
  };
  t.true(await eventually(isServed, patientMs), `${when}: ${last}`);
}

async function startCase(t: ExecutionContext, { processName }: CrowdCase) {
  const quickstart: Quickstart = startQuickstart();
  t.teardown(quickstart.end);
  const [address = ''] = await quickstart.ready;
  await expectServed(t, address, 'before the crowd');
  const process = quickstart.processNamed(processName);
  const use = watchProcess(process.pid);
  t.teardown(use.stop);
  return { quickstart, address, process, use };
}

cases.forEach((crowdCase) => {
  const { name, processName, port } = crowdCase;
  test.serial(`${processName} bears at its ${port} ${name}`, async (t) => {
    t.timeout(4 * patientMs);
    const { quickstart, address, process, use } = await startCase(t, crowdCase);
    const crowd = startCrowd({
      ...crowdCase,
      address: (process.addresses[port] ?? '').replace('http://', ''),
    });
    t.teardown(crowd.leave);
    await crowd.settled;
    t.log(`${crowd.openCount()} clients are connected`);
    await expectServed(t, address, 'beside the crowd');
    crowd.leave();
    await expectServed(t, address, 'after the crowd');
    t.log(`peak: ${use.peakResidentBytes()} bytes resident`);
    t.true(use.peakResidentBytes() <= (memoryBytes[processName] ?? 0));
    t.true(
      quickstart.processes.every(({ pid }) => isRunning(pid)),
      'a process has ended',
    );
  });
});
