/**
 * Test harness of the capacity experiments: a platform stand-in without rate limits, instance lists and documents
 * of a given size, byte counters, and the resource usage of a process over a period.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { readUsage, type ProcessUsage } from '../accounting/processUsage';
import { startBinary, type RunningBinary } from '../fleet/childProcess';
import { applyDocument, readJson, registerInstance, sendJson } from '../fleet/controlCalls';
import type { ExperimentContext } from './context';

export const host = '127.0.0.1';
/** Data centre of the measured processes; fake instances are listed in the others. */
export const localDataCentre = 'tacoma-hall';
const remoteDataCentres = ['salem-hall', 'spokane-hall', 'sohar-hall'];

const bytesPerMegabyte = 1024 * 1024;
const readyTimeoutMs = 90_000;
const pollIntervalMs = 100;
const batchSize = 40;
const msPerSecond = 1000;

/** The processes of one measurement; the one that was started first is stopped last. */
export interface Harness {
  start(
    name: string,
    binary: string,
    settings: Record<string, string | number>,
  ): Promise<RunningBinary>;
  stop(): Promise<void>;
}

export function createHarness(context: ExperimentContext): Harness {
  const running: RunningBinary[] = [];
  return {
    async start(name, binary, settings) {
      const process = await startBinary({ name, binary, settings }, context);
      running.push(process);
      return process;
    },
    async stop() {
      // The platform starts first and stops last, because the other processes call it while they stop.
      const [first, ...others] = running;
      await Promise.all(others.map((process) => process.stop()));
      await first?.stop();
    },
  };
}

/** Runs a measurement with processes of its own and stops them afterwards, also on failure. */
export async function withHarness<Value>(
  context: ExperimentContext,
  measure: (harness: Harness) => Promise<Value>,
): Promise<Value> {
  const harness = createHarness(context);
  try {
    return await measure(harness);
  } finally {
    await harness.stop();
  }
}

/** Starts a platform stand-in; its rate limits are high enough not to slow down the set-up. */
export async function startPlatform(harness: Harness): Promise<string> {
  const platform = await harness.start('platform', 'standin-platform', {
    host,
    instanceLagMs: 0,
    writesPerSecond: 1_000_000,
    readsPerSecond: 1_000_000,
  });
  return platform.addresses.address ?? '';
}

export function startEntry(
  harness: Harness,
  instanceId: string,
  platformUrl: string,
): Promise<RunningBinary> {
  const ports = { entryPort: 0, innerPort: 0, adminPort: 0 };
  const settings = { ...ports, instanceId, dataCentre: localDataCentre, platformUrl };
  return harness.start(instanceId, 'bluebell-entry', settings);
}

/** Document of a plain service with a typical number of fields, about 500 bytes. */
export function plainDocument(service: string, requestTimeoutMs = 10_000): string {
  return [
    'apiVersion: bluebellhitch/v1',
    `service: ${service}`,
    'institution: halloran-voss',
    'kind: plain',
    `dataCentres: [${[localDataCentre, ...remoteDataCentres].join(', ')}]`,
    'routes:',
    `  - pathPrefix: /${service}/read`,
    '    methods: [GET, HEAD]',
    `  - pathPrefix: /${service}/write`,
    '    methods: [POST]',
    '    repeatable: false',
    'classes:',
    '  - { name: counter, priority: 1, weight: 4 }',
    '  - { name: reports, priority: 7, weight: 1, requestsPerSecond: 20, burst: 40 }',
    'limits:',
    `  requestTimeoutMs: ${requestTimeoutMs}`,
    '  maxBodyBytes: 262144',
    '  slotsPerServer: 64',
    'drain: { boundMs: 15000 }',
  ].join('\n');
}

export const serviceName = (index: number): string => `service-${index}`;

export async function applyDocuments(platformUrl: string, count: number): Promise<void> {
  const names = Array.from({ length: count }, (_, index) => serviceName(index));
  await runInBatches(names, (name) => applyDocument(platformUrl, name, plainDocument(name)));
}

/** Stores a new version of a document that `applyDocuments` created. */
export async function editDocument(
  platformUrl: string,
  service: string,
  requestTimeoutMs: number,
): Promise<void> {
  const url = `${platformUrl}/objects/document/${service}`;
  const { version } = (await readJson(url)) as { version: number };
  const value = { text: plainDocument(service, requestTimeoutMs), format: 'yaml' };
  await sendJson('PUT', `${url}?version=${version}`, { value });
}

/** Adds instances without processes to the list: a third are entries, the others agents of 27 services. */
export async function registerFakeInstances(platformUrl: string, count: number): Promise<void> {
  const indexes = Array.from({ length: count }, (_, index) => index);
  await runInBatches(indexes, (index) => {
    const isEntry = index % 3 === 0;
    const dataCentre = remoteDataCentres[index % remoteDataCentres.length] ?? localDataCentre;
    const innerAddress = `http://${host}:9`;
    return registerInstance(
      platformUrl,
      `${isEntry ? 'entry' : 'agent'}-${dataCentre}-${index}`,
      isEntry
        ? { kind: 'entry', dataCentre, innerAddress }
        : {
            kind: 'agent',
            service: serviceName(index % 27),
            role: 'plain',
            dataCentre,
            innerAddress,
          },
    );
  });
}

async function runInBatches<Item>(
  items: readonly Item[],
  run: (item: Item) => Promise<void>,
): Promise<void> {
  for (let start = 0; start < items.length; start += batchSize) {
    await Promise.all(items.slice(start, start + batchSize).map(run));
  }
}

/** Resolves once `count` accepted documents are active in an entry. */
export function waitForServices(adminAddress: string, count: number): Promise<void> {
  return waitUntil(`fewer than ${count} documents are active`, async () => {
    const services = (await readJson(`${adminAddress}/debug/services`)) as unknown[];
    return services.length >= count;
  });
}

export async function waitUntil(
  timeoutMessage: string,
  isDone: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = monotonicNowMs() + readyTimeoutMs;
  while (!(await isDone().catch(() => false))) {
    if (monotonicNowMs() > deadlineMs) {
      throw new Error(timeoutMessage);
    }
    await delay(pollIntervalMs);
  }
}

/** TCP proxy that counts payload bytes, HTTP headers included. */
export interface ByteCounter {
  /** `http://ip:port` of the proxy, to use in place of the target's address. */
  address: string;
  /** Bytes sent to the target and received from it. */
  totals(): { sent: number; received: number };
  close(): void;
}

export async function startByteCounter(targetAddress: string): Promise<ByteCounter> {
  const target = new URL(targetAddress);
  const totals = { sent: 0, received: 0 };
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const upstream = connect(Number(target.port), target.hostname);
    [client, upstream].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        sockets.delete(socket);
        client.destroy();
        upstream.destroy();
      });
    });
    client.on('data', (chunk: Buffer) => {
      totals.sent += chunk.length;
    });
    upstream.on('data', (chunk: Buffer) => {
      totals.received += chunk.length;
    });
    client.pipe(upstream).pipe(client);
  });
  server.listen(0, host);
  await once(server, 'listening');
  return {
    address: `http://${host}:${(server.address() as AddressInfo).port}`,
    totals: () => ({ ...totals }),
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Number of calls that the platform received, by operation. */
export async function readCallCounts(platformUrl: string): Promise<Record<string, number>> {
  const { calls } = (await readJson(`${platformUrl}/control/stats`)) as {
    calls: Record<string, number>;
  };
  return calls;
}

export function resetCallCounts(platformUrl: string): Promise<void> {
  return sendJson('POST', `${platformUrl}/control/stats/reset`, {});
}

/** Resource usage of a process between two readings. */
export interface UsageOverTime {
  seconds: number;
  cpuSeconds: number;
  /** At the second reading, without a forced garbage collection. */
  residentBytes: number;
}

/** Reads the usage now; the returned function reads it again and resolves with the difference. */
export async function startUsageMeter(adminAddress: string): Promise<() => Promise<UsageOverTime>> {
  const before: ProcessUsage = await readUsage(adminAddress);
  const startedAtMs = monotonicNowMs();
  return async () => {
    const after = await readUsage(adminAddress);
    return {
      seconds: (monotonicNowMs() - startedAtMs) / msPerSecond,
      cpuSeconds: after.cpuSeconds - before.cpuSeconds,
      residentBytes: after.residentBytes,
    };
  };
}

export function formatMegabytes(bytes: number): string {
  return (bytes / bytesPerMegabyte).toFixed(1);
}

/** Share of one core, in percent. */
export function formatCorePercent({ cpuSeconds, seconds }: UsageOverTime): string {
  return ((cpuSeconds / seconds) * 100).toFixed(2);
}
