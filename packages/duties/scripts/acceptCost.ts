/**
 * Measures the cost of accepting documents, for several numbers of services: platform calls and time per change, while
 * idle, and when the duty moves to another entry. Twelve entries run their duties over an in-memory platform that takes
 * 2 ms per call. Options: `--sizes 30,300,3000 --changes 100 --idle-seconds 10`.
 */
import { parseArgs } from 'node:util';
import { objectKinds, type PlatformInstance } from '@bluebellhitch/objects';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { createStandinPlatform, type StandinPlatform } from '@bluebellhitch/standins';
import { errAsync } from 'neverthrow';
import { startDuties, type Duties } from '../src/startDuties';

const entryCount = 12;
const pollMs = 2;

interface Measurement {
  services: number;
  firstAcceptSeconds: string;
  idleReadsPerSecond: string;
  idleWritesPerSecond: string;
  callsPerChange: string;
  changeP50Ms: string;
  changeP99Ms: string;
  cpuMsPerChange: string;
  takeoverCalls: number;
  takeoverMs: string;
  rssMb: string;
}

const { values } = parseArgs({
  options: {
    sizes: { type: 'string', default: '30,300,3000' },
    changes: { type: 'string', default: '100' },
    'idle-seconds': { type: 'string', default: '10' },
  },
});

const measurements: Measurement[] = [];
for (const size of values.sizes.split(',').map(Number)) {
  measurements.push(await measure(size, Number(values.changes), Number(values['idle-seconds'])));
}
process.stdout.write(`${measurements.map((one) => JSON.stringify(one)).join('\n')}\n`);

async function measure(services: number, changes: number, idleSeconds: number) {
  const platform = createStandinPlatform({ latencyMs: 2 });
  const names = Array.from({ length: services }, (_, index) => `service-${index}`);
  await Promise.all(names.map((name) => platform.create('document', name, documentValue(name, 1))));
  const startedAtMs = monotonicNowMs();
  const fleet = startEntries(platform);
  await until(async () => (await countAccepted(platform)) === services);
  const firstAcceptSeconds = (monotonicNowMs() - startedAtMs) / 1000;
  const idle = await measureIdle(platform, idleSeconds);
  const change = await measureChanges(platform, names.slice(0, changes), idle);
  const takeover = await measureTakeover(platform, fleet, names[0] ?? '', idle);
  const rssMb = (process.memoryUsage().rss / 2 ** 20).toFixed(0);
  await Promise.all(fleet.map(({ duties }) => duties.stop()));
  return {
    services,
    firstAcceptSeconds: firstAcceptSeconds.toFixed(2),
    idleReadsPerSecond: idle.readsPerSecond.toFixed(2),
    idleWritesPerSecond: idle.writesPerSecond.toFixed(2),
    ...change,
    ...takeover,
    rssMb,
  };
}

interface RunningEntry {
  instance: PlatformInstance;
  duties: Duties;
}

function startEntries(platform: StandinPlatform): RunningEntry[] {
  const entries = Array.from({ length: entryCount }, (_, index) => entryInstance(index));
  const unreachable = () => errAsync({ kind: 'no-answer' as const, detail: 'no agents here' });
  const agentClient = { workerState: unreachable, load: unreachable, order: unreachable };
  return entries.map((instance) => ({
    instance,
    duties: startDuties({
      platform,
      holderId: instance.id,
      instances: () => entries,
      documents: () => [],
      agentClient,
    }),
  }));
}

function entryInstance(index: number): PlatformInstance {
  const id = `entry-${index}`;
  const innerAddress = `http://127.0.0.1:${20_000 + index}`;
  return { id, kind: 'entry', dataCentre: 'tacoma-hall', innerAddress, state: 'live' };
}

interface IdleRates {
  readsPerSecond: number;
  writesPerSecond: number;
}

async function measureIdle(platform: StandinPlatform, seconds: number): Promise<IdleRates> {
  platform.control.resetStats();
  await delay(seconds * 1000);
  const { reads, writes } = countCalls(platform);
  return { readsPerSecond: reads / seconds, writesPerSecond: writes / seconds };
}

async function measureChanges(platform: StandinPlatform, names: string[], idle: IdleRates) {
  const durationsMs: number[] = [];
  const own = { calls: 0 };
  platform.control.resetStats();
  const startedAtMs = monotonicNowMs();
  const cpuBefore = process.cpuUsage();
  for (const name of names) {
    const current = (await platform.get('document', name))._unsafeUnwrap();
    const changedAtMs = monotonicNowMs();
    const value = documentValue(name, 2);
    const edited = (
      await platform.update('document', name, current.version, value)
    )._unsafeUnwrap();
    own.calls += 2;
    await until(async () => {
      own.calls += 1;
      return statusIsFor(platform, name, edited.version);
    });
    durationsMs.push(monotonicNowMs() - changedAtMs);
  }
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  const { reads, writes } = countCalls(platform);
  const idleCalls = seconds * (idle.readsPerSecond + idle.writesPerSecond);
  durationsMs.sort((left, right) => left - right);
  return {
    callsPerChange: ((reads + writes - own.calls - idleCalls) / names.length).toFixed(2),
    changeP50Ms: quantile(durationsMs, 0.5).toFixed(1),
    changeP99Ms: quantile(durationsMs, 0.99).toFixed(1),
    cpuMsPerChange: ((cpu.user + cpu.system) / 1000 / names.length).toFixed(2),
  };
}

/** Measures from a planned stop of the holder until its successor has accepted an edit made right after the stop. */
async function measureTakeover(
  platform: StandinPlatform,
  fleet: RunningEntry[],
  name: string,
  idle: IdleRates,
) {
  const lease = (await platform.get(objectKinds.lease, 'accept'))._unsafeUnwrap();
  const { holderId } = lease.value as { holderId: string };
  const current = (await platform.get('document', name))._unsafeUnwrap();
  platform.control.resetStats();
  const startedAtMs = monotonicNowMs();
  await fleet.find(({ instance }) => instance.id === holderId)?.duties.stop();
  const edited = await platform.update('document', name, current.version, documentValue(name, 3));
  let ownCalls = 1;
  await until(async () => {
    ownCalls += 1;
    return statusIsFor(platform, name, edited._unsafeUnwrap().version);
  });
  const takeoverMs = monotonicNowMs() - startedAtMs;
  const { reads, writes } = countCalls(platform);
  const idleCalls = (takeoverMs / 1000) * (idle.readsPerSecond + idle.writesPerSecond);
  const takeoverCalls = Math.round(reads + writes - ownCalls - idleCalls);
  return { takeoverCalls, takeoverMs: takeoverMs.toFixed(0) };
}

function countCalls(platform: StandinPlatform): { reads: number; writes: number } {
  const { calls } = platform.control.stats();
  return {
    reads: calls.get + calls.list + calls.watch + calls.instances,
    writes: calls.create + calls.update + calls.remove,
  };
}

async function countAccepted(platform: StandinPlatform): Promise<number> {
  const statuses = await platform.list(objectKinds.status);
  return statuses.match(
    ({ objects }) => objects.length,
    () => 0,
  );
}

async function statusIsFor(platform: StandinPlatform, name: string, version: number) {
  const status = await platform.get(objectKinds.status, name);
  return status.match(
    ({ value }) => (value as { documentVersion: number }).documentVersion === version,
    () => false,
  );
}

function documentValue(service: string, seconds: number) {
  const text = [
    'apiVersion: bluebellhitch/v1',
    `service: ${service}`,
    'institution: halloran-voss',
    'kind: plain',
    'dataCentres: [tacoma-hall]',
    `limits: { requestTimeoutMs: ${seconds * 1000} }`,
    'drain: { boundMs: 60000 }',
    'routes:',
    `  - host: ${service}.example`,
  ].join('\n');
  return { text, format: 'yaml' };
}

async function until(isDone: () => Promise<boolean>): Promise<void> {
  while (!(await isDone())) {
    await delay(pollMs);
  }
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
