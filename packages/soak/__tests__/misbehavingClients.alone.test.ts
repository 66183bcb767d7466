/**
 * Clients that keep to no limit at each port of a router: the process lives, stays within the memory and descriptors of its
 * machine, and answers an ordinary request, also at its other ports. Nothing here depends on the machine's speed.
 */
import { request } from 'node:http';
import test, { type ExecutionContext } from 'ava';
import {
  encodeChunk,
  endless,
  headAndBytes,
  inOrder,
  once,
  sendRaw,
  startCrowd,
  unendedChunks,
  type CrowdOptions,
} from '@bluebellhitch/standins';
import {
  callerLimits,
  graceMs,
  machine,
  patientMs,
  startCrowdedRouter,
  type CrowdedRouter,
} from './support/crowdedRouter';
import { requestHead } from './support/requestHead';

const portNames = {
  callers: 'callersAddress',
  ready: 'readyAddress',
  admin: 'adminAddress',
} as const;

interface CrowdCase extends Pick<CrowdOptions, 'clientCount' | 'partsOf'> {
  name: string;
  port?: keyof typeof portNames;
}

const { maxBodyBytes } = callerLimits;
const okStatus = 200;
const chunked = ['Transfer-Encoding: chunked'];
const withBody = { method: 'POST', body: 'x'.repeat(100_000) };
const bare = 'GET / HTTP/1.1\r\n\r\n';

function post(client: number, headers: readonly string[]): string {
  return requestHead({ id: `crowd-${client}`, method: 'POST', target: '/safe/a', headers });
}

function get(client: number, target: string, kind = 'short'): string {
  return requestHead({ id: `${kind}-${client}`, target });
}

const cases: readonly CrowdCase[] = [
  {
    name: 'bodies in chunks of one byte that stop short of their end',
    clientCount: 20,
    partsOf: (client) => unendedChunks(post(client, chunked), 1, 200_000),
  },
  {
    name: 'bodies in chunks of 64 KB that stop short of their end',
    clientCount: 100,
    partsOf: (client) => unendedChunks(post(client, chunked), 65_535, 64),
  },
  {
    name: 'bodies with a length that stop short of their end',
    clientCount: 100,
    partsOf: (client) =>
      headAndBytes(post(client, [`Content-Length: ${maxBodyBytes}`]), maxBodyBytes - 1),
  },
  {
    name: 'requests ahead to no route, their answers unread',
    clientCount: 20,
    partsOf: (client) => endless(get(client, '/none/a')),
  },
  {
    name: 'requests ahead that a server answers, their answers unread',
    clientCount: 20,
    partsOf: (client) => endless(get(client, '/safe/a')),
  },
  {
    name: 'requests ahead that a server answers at length, their answers unread',
    clientCount: 50,
    partsOf: (client) => endless(get(client, '/safe/a', 'long')),
  },
  {
    name: 'one request each that a server answers at length, its answer unread',
    clientCount: 900,
    partsOf: (client) => once(get(client, '/safe/a', 'long')),
  },
  {
    name: 'requests ahead without the usual headers, their answers unread',
    clientCount: 900,
    partsOf: () => endless(bare),
  },
  {
    name: 'requests ahead behind one that has a body without an end',
    clientCount: 100,
    partsOf: (client) =>
      inOrder(
        once(get(client, '/none/a').repeat(1_000)),
        unendedChunks(post(client, chunked), 1, 20_000),
      ),
  },
  {
    name: 'chunks of one byte to a request that is refused by its head',
    clientCount: 100,
    partsOf: () =>
      inOrder(
        once('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'),
        endless(encodeChunk(1)),
      ),
  },
  {
    name: 'heads just below the limit that do not end',
    clientCount: 900,
    partsOf: (client) => once(`${get(client, '/safe/a').slice(0, -2)}X: ${'x'.repeat(15_000)}`),
  },
  {
    name: 'requests ahead that ask for an upgrade, their answers unread',
    clientCount: 50,
    partsOf: () =>
      endless('GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n'),
  },
  {
    name: 'requests that wait to be told to send their bodies',
    clientCount: 900,
    partsOf: (client) =>
      once(post(client, ['Expect: 100-continue', `Content-Length: ${maxBodyBytes}`])),
  },
  {
    name: 'CONNECT over and over',
    clientCount: 50,
    partsOf: () => endless('CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n'),
  },
  {
    name: 'connections without a request at the callers’ port',
    clientCount: 1_500,
    partsOf: () => once(''),
  },
  {
    name: 'requests ahead at the ready path, their answers unread',
    port: 'ready',
    clientCount: 100,
    partsOf: () => endless(bare),
  },
  {
    name: 'chunks of one byte at the ready path',
    port: 'ready',
    clientCount: 100,
    partsOf: () =>
      inOrder(
        once('POST /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'),
        endless(encodeChunk(1)),
      ),
  },
  {
    name: 'connections without a request at the ready port',
    port: 'ready',
    clientCount: 1_500,
    partsOf: () => once(''),
  },
  {
    name: 'heads that do not end at the ready port',
    port: 'ready',
    clientCount: 900,
    partsOf: () => once(`GET /ready HTTP/1.1\r\nX: ${'x'.repeat(15_000)}`),
  },
  {
    name: 'requests ahead at the metrics of the admin port, their answers unread',
    port: 'admin',
    clientCount: 100,
    partsOf: () => endless('GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'),
  },
  {
    name: 'chunks of one byte at the admin port',
    port: 'admin',
    clientCount: 100,
    partsOf: () =>
      inOrder(
        once('POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'),
        endless(encodeChunk(1)),
      ),
  },
  {
    name: 'connections without a request at the admin port',
    port: 'admin',
    clientCount: 1_500,
    partsOf: () => once(''),
  },
];

const severalForms = cases.filter(({ port = 'callers' }) => port === 'callers').slice(0, 8);

/** The status of one request at the ready port on a connection of its own; 0 without an answer. */
function askReady({ router }: CrowdedRouter): Promise<number> {
  return new Promise((resolve) => {
    const asked = request(`http://${router.readyAddress}/ready`, { agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    asked.setTimeout(patientMs, () => asked.destroy());
    asked.once('error', () => resolve(0));
    asked.end();
  });
}

function expectBounded(t: ExecutionContext, { ownEnd, use }: CrowdedRouter): void {
  t.log(`peak: ${use.peakResidentBytes()} bytes resident, ${use.peakDescriptors()} descriptors`);
  t.is(ownEnd(), undefined, 'the process has ended by itself');
  t.true(
    use.peakResidentBytes() <= machine.memoryBytes,
    `${use.peakResidentBytes()} bytes were resident`,
  );
  t.true(use.peakDescriptors() <= machine.maxDescriptors, `${use.peakDescriptors()} descriptors`);
}

cases.forEach(({ name, port = 'callers', ...crowdCase }) => {
  test.serial(`a router bears ${name}`, async (t) => {
    t.timeout(4 * patientMs);
    const crowded = await startCrowdedRouter(t);
    const address = crowded.router[portNames[port]];
    const crowd = startCrowd({ ...crowdCase, address });
    t.teardown(crowd.leave);
    await crowd.settled;
    t.log(`${crowd.openCount()} clients are connected`);
    t.is(await crowded.call({}), okStatus, 'beside the crowd');
    t.is(await crowded.call(withBody), okStatus, 'a body beside the crowd');
    t.is(await askReady(crowded), okStatus, 'the ready path beside the crowd');
    crowd.leave();
    t.is(await crowded.call({}), okStatus, 'after the crowd');
    t.is(await crowded.call(withBody), okStatus, 'a body after the crowd');
    t.is(await askReady(crowded), okStatus, 'the ready path after the crowd');
    expectBounded(t, crowded);
  });
});

[65_536, 64, 8, 1].forEach((chunkBytes) => {
  test.serial(`a router serves one body of 4 MB in chunks of ${chunkBytes} bytes`, async (t) => {
    // Such a body is within the limits. Each chunk was held as an object of its own, until the process had no memory left.
    t.timeout(4 * patientMs);
    const crowded = await startCrowdedRouter(t);
    const chunkCount = maxBodyBytes / chunkBytes;
    const body = unendedChunks(post(0, chunked), chunkBytes, chunkCount);
    const status = await sendRaw(crowded.router.callersAddress, inOrder(body, once('0\r\n\r\n')));
    t.is(status, okStatus);
    t.is(await crowded.call({}), okStatus);
    expectBounded(t, crowded);
  });
});

test.serial('a router bears several forms at once', async (t) => {
  const { crowded, crowd } = await startSeveralForms(t);
  t.is(await crowded.call({}), okStatus);
  crowd.leave();
  t.is(await crowded.call({}), okStatus);
  expectBounded(t, crowded);
});

test.serial('a router ends within its grace time beside several forms', async (t) => {
  // The platform kills a process that has not ended by then, with the requests of its ordinary callers.
  const { crowded } = await startSeveralForms(t);
  const kill = setTimeout(crowded.router.kill, graceMs);
  const result = await crowded.router.stopGracefully();
  clearTimeout(kill);
  t.is(result?.exitCode, 0, 'killed');
  expectBounded(t, crowded);
});

async function startSeveralForms(t: ExecutionContext) {
  t.timeout(4 * patientMs);
  const crowded = await startCrowdedRouter(t);
  const crowd = startCrowd({
    address: crowded.router.callersAddress,
    clientCount: 160,
    partsOf: (client) => formOf(client).partsOf(client),
  });
  t.teardown(crowd.leave);
  await crowd.settled;
  return { crowded, crowd };
}

function formOf(client: number): CrowdCase {
  return severalForms[client % severalForms.length] as CrowdCase;
}
