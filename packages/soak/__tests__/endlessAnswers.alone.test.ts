/**
 * Workers that send bytes without an end, and long answers of sound ones to callers that do not read: the router process
 * lives, stays within the memory and descriptors of its machine, and answers an ordinary request at another service, beside
 * them and after. Nothing here depends on the machine's speed.
 */
import test from 'ava';
import {
  encodeChunk,
  endless,
  inOrder,
  once,
  unendedChunks,
  type Parts,
} from '@bluebellhitch/standins';
import { routeKinds, type Route } from '@bluebellhitch/routing';
import { plainRoute, streamRoute } from '../src/configurationPlan';
import { serviceNames } from '../src/serverSlots';
import {
  machine,
  patientMs,
  startCrowdedRouter,
  type FurtherServices,
} from './support/crowdedRouter';
import { faultyHead, startFaultyWorker } from './support/faultyWorker';
import { startOpenCallers } from './support/openCallers';
import { requestHead } from './support/requestHead';

interface EndlessCase {
  name: string;
  route: 'plain' | 'stream' | 'engine';
  callerCount: number;
  isReading?: boolean;
  /** What comes before the body. Default: a whole head. */
  head?: string;
  /** The answer's body. */
  body: Parts;
  /** Whether the answer has an end. Default: no. */
  isWhole?: boolean;
  /** Whether calls for reservations and reports get such a body too. Default: no. */
  isFaultyThroughout?: boolean;
}

const okStatus = 200;
const largeChunkBytes = 65_535;
const oneByteChunks = endless(encodeChunk(1));
const largeChunks = endless(encodeChunk(largeChunkBytes));
const longBody = inOrder(unendedChunks('', 16_384, 512), once(encodeChunk(0)));
/** As many requests at once as the machine has descriptors for, on both sides. */
const largestCrowd = 600;
/** The shortest event, in chunks of one byte. */
const tinyEvents = endless('1\r\n\n\r\n1\r\n\n\r\n');

const statusLine = 'HTTP/1.1 200 OK\r\n';
const shortestLines = endless('A:\r\n');
/** Under the limits of bytes of a head. */
const stoppedLines = 'A:\r\n'.repeat(15_000);
const bodyBeforeTrailer = '1\r\nx\r\n0\r\n';

const eventStream = 'text/event-stream';
const unframedHead = faultyHead({ contentType: eventStream, isChunked: false });
const failureHead = faultyHead({ contentType: eventStream, isChunked: false, status: 500 });
const rejectionHead = faultyHead({ contentType: eventStream, status: 503, isRejection: true });

const cases: readonly EndlessCase[] = [
  { name: 'a body in chunks of one byte', route: 'plain', callerCount: 20, body: oneByteChunks },
  { name: 'a body in chunks of one byte', route: 'plain', callerCount: 100, body: oneByteChunks },
  { name: 'a body in large chunks', route: 'plain', callerCount: 100, body: largeChunks },
  {
    ...{ name: 'the events of a plain server, in chunks of one byte', route: 'stream' },
    ...{ callerCount: 100, body: tinyEvents },
  },
  {
    ...{ name: 'tiny events in chunks of one byte', route: 'engine' },
    ...{ callerCount: 100, body: tinyEvents },
  },
  {
    ...{ name: 'tiny events in chunks of one byte to callers that read', route: 'engine' },
    ...{ callerCount: 100, isReading: true, body: tinyEvents },
  },
  {
    ...{ name: 'an event in large chunks', route: 'engine' },
    ...{ callerCount: 100, body: largeChunks },
  },
  {
    ...{ name: 'an event in chunks of one byte', route: 'engine' },
    ...{ callerCount: 100, body: oneByteChunks },
  },
  {
    ...{ name: 'an answer to its own calls in chunks of one byte', route: 'engine' },
    ...{ callerCount: 100, body: oneByteChunks, isFaultyThroughout: true },
  },
  {
    ...{ name: 'a body in large chunks', route: 'plain' },
    ...{ callerCount: largestCrowd, body: largeChunks },
  },
  {
    ...{ name: 'a body in chunks of one byte', route: 'plain' },
    ...{ callerCount: largestCrowd, body: oneByteChunks },
  },
  {
    ...{ name: 'the events of a plain server, in large chunks', route: 'stream' },
    ...{ callerCount: largestCrowd, body: largeChunks },
  },
  {
    ...{ name: 'an event in large chunks', route: 'engine' },
    ...{ callerCount: largestCrowd, body: largeChunks },
  },
  {
    ...{ name: 'short lines of a head', route: 'plain', head: statusLine },
    ...{ callerCount: 400, body: endless('A: b\r\n') },
  },
  {
    ...{ name: 'lines of a head without values', route: 'plain', head: statusLine },
    ...{ callerCount: 400, body: shortestLines },
  },
  {
    ...{ name: 'lines of a head, also of answers to its own calls', route: 'engine' },
    ...{ callerCount: 400, head: statusLine, body: shortestLines, isFaultyThroughout: true },
  },
  {
    ...{ name: 'short lines of a trailer', route: 'plain' },
    ...{ callerCount: 400, body: inOrder(once(bodyBeforeTrailer), shortestLines) },
  },
  {
    ...{ name: 'short lines of a trailer of events', route: 'engine' },
    ...{ callerCount: 400, body: inOrder(once(bodyBeforeTrailer), shortestLines) },
  },
  {
    ...{ name: 'a trailer of short lines that stops', route: 'plain' },
    ...{ callerCount: 400, body: inOrder(once(bodyBeforeTrailer), once(stoppedLines)) },
  },
  {
    ...{ name: 'a reason phrase', route: 'plain', head: 'HTTP/1.1 200 ' },
    ...{ callerCount: 400, body: endless('x') },
  },
  {
    ...{ name: 'interim responses', route: 'plain', head: 'HTTP/1.1 102 Processing\r\n\r\n' },
    ...{ callerCount: 400, body: endless('HTTP/1.1 102 P\r\n\r\n') },
  },
  {
    ...{ name: 'a body without a length', route: 'plain', head: unframedHead },
    ...{ callerCount: largestCrowd, body: endless('x') },
  },
  {
    ...{ name: 'events without a length', route: 'engine', head: unframedHead },
    ...{ callerCount: 400, body: endless('data: x\n\n') },
  },
  {
    ...{ name: 'the body of a failure', route: 'plain', head: failureHead },
    ...{ callerCount: largestCrowd, body: endless('x') },
  },
  {
    ...{ name: 'the body of a rejection', route: 'plain', head: rejectionHead },
    ...{ callerCount: largestCrowd, body: oneByteChunks },
  },
  {
    ...{ name: 'the extension of a chunk', route: 'plain' },
    ...{ callerCount: largestCrowd, body: inOrder(once('1;'), endless('x')) },
  },
  {
    ...{ name: 'chunks with long extensions', route: 'plain' },
    ...{ callerCount: largestCrowd, body: endless(`1;${'e'.repeat(200)}\r\nx\r\n`) },
  },
  {
    ...{ name: 'bytes that are no answer', route: 'plain', head: 'x' },
    ...{ callerCount: largestCrowd, body: endless('x') },
  },
  {
    ...{ name: 'bodies of 8 MB', route: 'plain', isWhole: true },
    ...{ callerCount: largestCrowd, body: longBody },
  },
];

const faultyService = 'faulty';
const report = { stage: 'decode', waiting: 0, running: 0, kv_used: 0, kv_total: 50_000_000 };
const regularCalls = { '/hold-take': { hold: 'h' }, '/report': report };
/** A router opens an eighth of them. */
const maxConnections = 8 * 900;

function routeOf({ route }: EndlessCase): Route {
  const kind = route === 'plain' ? routeKinds.idempotent : routeKinds.stream;
  const serviceName = serviceNames.desk;
  const base =
    route === 'engine'
      ? streamRoute(faultyService, true, 1)
      : plainRoute(faultyService, kind, serviceName);
  return { ...base, timeoutMs: patientMs, targetLatencyMs: patientMs };
}

function servicesFor(endlessCase: EndlessCase, address: string): FurtherServices {
  const isEngine = endlessCase.route === 'engine';
  const service = isEngine ? serviceNames.letters : serviceNames.desk;
  const engine = isEngine
    ? { kvTokens: 50_000_000, reservationLimitMs: 2_000, stageSwitchMs: 100 }
    : undefined;
  return {
    routes: [routeOf(endlessCase)],
    services: [{ name: service, maxConnections, engine }],
    entries: {
      f1: {
        ...{ service, address, zone: 'north', slots: maxConnections, state: 'ready', sequence: 1 },
        ...(isEngine ? { stage: 'decode' } : {}),
      },
    },
  };
}

cases.forEach((endlessCase) => {
  const { name, route, callerCount, isReading = false, isFaultyThroughout = false } = endlessCase;
  const answers = endlessCase.isWhole ? 'long answers that are not read' : 'answers without an end';
  test.serial(`a router bears ${callerCount} ${answers}: ${name}`, async (t) => {
    t.timeout(4 * patientMs);
    const contentType = route === 'plain' ? 'text/plain' : eventStream;
    const worker = await startFaultyWorker(t, {
      answerOf: () =>
        inOrder(once(endlessCase.head ?? faultyHead({ contentType })), endlessCase.body),
      regular: isFaultyThroughout ? {} : regularCalls,
    });
    const crowded = await startCrowdedRouter(t, servicesFor(endlessCase, worker.address));
    const { call, use, ownEnd } = crowded;
    const callers = startOpenCallers({
      ...{ address: crowded.router.callersAddress, isReading },
      heads: Array.from({ length: callerCount }, (_none, caller) =>
        requestHead({ id: `faulty-${caller}`, target: `/${faultyService}/a` }),
      ),
    });
    t.teardown(callers.leave);
    await worker.settled();
    const besideStatus = await call({});
    callers.leave();
    const afterStatus = await call({});
    t.log(`peak: ${use.peakResidentBytes()} bytes resident; ${worker.callCount()} calls answered`);
    t.is(ownEnd(), undefined, 'the process has ended by itself');
    t.is(besideStatus, okStatus, 'beside the answers');
    t.is(afterStatus, okStatus, 'after the answers');
    t.true(worker.callCount() > 0, 'no request has reached the worker');
    t.true(
      use.peakResidentBytes() <= machine.memoryBytes,
      `${use.peakResidentBytes()} bytes were resident`,
    );
    t.true(use.peakDescriptors() <= machine.maxDescriptors, `${use.peakDescriptors()} descriptors`);
  });
});
