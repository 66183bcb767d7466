/**
 * What the capacity experiments share: a stand-in platform without rate limits, lists of instances
 * and documents of a given size, counted bytes, and the usage of a process over a time.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { readUsage, type ProcessUsage } from '../accounting/processUsage';
import { startBinary, type RunningBinary } from '../fleet/childProcess';
import { applyDocument, readJson, registerInstance, sendJson } from '../fleet/controlCalls';
import type { ExperimentContext } from './context';

export const host = '127.0.0.1';
/** Where the processes that are measured run; listed instances that do not run are elsewhere. */
export const localDataCentre = 'tacoma-hall';
const remoteDataCentres = ['salem-hall', 'spokane-hall', 'sohar-hall'];

const bytesPerMegabyte = 1024 * 1024;
const readyBoundMs = 90_000;
const pollMs = 100;
const registrationsAtOnce = 40;
const msPerSecond = 1000;

/** Processes of one measurement, stopped in reverse order. */
export interface Lab {
  start(
    name: string,
    binary: string,
    settings: Record<string, string | number>,
  ): Promise<RunningBinary>;
  stop(): Promise<void>;
}

export function createLab(context: ExperimentContext): Lab {
  const running: RunningBinary[] = [];
  return {
    async start(name, binary, settings) {
      const process = await startBinary({ name, binary, settings }, context);
      running.push(process);
      return process;
    },
    async stop() {
      // Entries and agents before what they depend on; those of one kind at the same time.
      const [first, ...others] = running;
      await Promise.all(others.map((process) => process.stop()));
      await first?.stop();
    },
  };
}

/** Runs a measurement with its own processes and ends them whatever happens. */
export async function withLab<Value>(
  context: ExperimentContext,
  measure: (lab: Lab) => Promise<Value>,
): Promise<Value> {
  const lab = createLab(context);
  try {
    return await measure(lab);
  } finally {
    await lab.stop();
  }
}

/** Without limits, so that filling it does not take the measured time. */
export async function startPlatform(lab: Lab): Promise<string> {
  const platform = await lab.start('platform', 'standin-platform', {
    host,
    instanceLagMs: 0,
    writesPerSecond: 1_000_000,
    readsPerSecond: 1_000_000,
  });
  return platform.addresses.address ?? '';
}

export function startEntry(
  lab: Lab,
  instanceId: string,
  platformUrl: string,
): Promise<RunningBinary> {
  const ports = { entryPort: 0, innerPort: 0, adminPort: 0 };
  const settings = { ...ports, instanceId, dataCentre: localDataCentre, platformUrl };
  return lab.start(instanceId, 'bluebell-entry', settings);
}

/** A plain document with the usual number of fields; about 500 bytes. */
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
  await inBatches(names, (name) => applyDocument(platformUrl, name, plainDocument(name)));
}

/** Edits a document that `applyDocuments` stored. */
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

/** Lists instances that do not run: a third are entries, the others agents of 27 services. */
export async function listInstances(platformUrl: string, count: number): Promise<void> {
  const indexes = Array.from({ length: count }, (_, index) => index);
  await inBatches(indexes, (index) => {
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

async function inBatches<Item>(
  items: readonly Item[],
  run: (item: Item) => Promise<void>,
): Promise<void> {
  for (let start = 0; start < items.length; start += registrationsAtOnce) {
    await Promise.all(items.slice(start, start + registrationsAtOnce).map(run));
  }
}

/** Resolves once an entry applies `count` accepted documents. */
export function waitForServices(adminAddress: string, count: number): Promise<void> {
  return waitUntil(`no ${count} documents in force`, async () => {
    const services = (await readJson(`${adminAddress}/debug/services`)) as unknown[];
    return services.length >= count;
  });
}

export async function waitUntil(problem: string, isDone: () => Promise<boolean>): Promise<void> {
  const giveUpAtMs = monotonicNowMs() + readyBoundMs;
  while (!(await isDone().catch(() => false))) {
    if (monotonicNowMs() > giveUpAtMs) {
      throw new Error(problem);
    }
    await delay(pollMs);
  }
}

/** Bytes of TCP payload, headers of HTTP included, through one forwarding port. */
export interface ByteCounter {
  /** `http://ip:port` to use in place of the target. */
  address: string;
  /** Toward the target and back. */
  totals(): { sent: number; received: number };
  close(): void;
}

export async function countBytes(targetAddress: string): Promise<ByteCounter> {
  const target = new URL(targetAddress);
  const totals = { sent: 0, received: 0 };
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(Number(target.port), target.hostname);
    [near, far].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        sockets.delete(socket);
        near.destroy();
        far.destroy();
      });
    });
    near.on('data', (chunk: Buffer) => {
      totals.sent += chunk.length;
    });
    far.on('data', (chunk: Buffer) => {
      totals.received += chunk.length;
    });
    near.pipe(far).pipe(near);
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

/** Calls that the platform took, by verb. */
export async function readCalls(platformUrl: string): Promise<Record<string, number>> {
  const { calls } = (await readJson(`${platformUrl}/control/stats`)) as {
    calls: Record<string, number>;
  };
  return calls;
}

export function resetCalls(platformUrl: string): Promise<void> {
  return sendJson('POST', `${platformUrl}/control/stats/reset`, {});
}

/** Usage of a process between two looks. */
export interface UsageOverTime {
  seconds: number;
  cpuSeconds: number;
  /** At the second look; without a forced garbage collection. */
  residentBytes: number;
}

/** Reads the usage now; the returned function reads it again and answers the difference. */
export async function beginUsage(adminAddress: string): Promise<() => Promise<UsageOverTime>> {
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

export function megabytes(bytes: number): string {
  return (bytes / bytesPerMegabyte).toFixed(1);
}

/** Share of one core, in percent. */
export function corePercent({ cpuSeconds, seconds }: UsageOverTime): string {
  return ((cpuSeconds / seconds) * 100).toFixed(2);
}
