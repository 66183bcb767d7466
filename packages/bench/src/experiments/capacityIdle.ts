/**
 * Cost of an entry and an agent without requests: resident memory, processor time, and bytes and calls to the
 * platform, by the length of the instance list and the number of documents. The entry is also relay and acceptor,
 * so its figures include the cost of both duties.
 */
import { delay } from '@bluebellhitch/shared';
import { registerInstance } from '../fleet/controlCalls';
import { renderTable } from '../report/table';
import {
  applyDocuments,
  startUsageMeter,
  formatCorePercent,
  startByteCounter,
  host,
  registerFakeInstances,
  localDataCentre,
  formatMegabytes,
  readCallCounts,
  resetCallCounts,
  serviceName,
  startEntry,
  startPlatform,
  waitForServices,
  withHarness,
  type ByteCounter,
  type Harness,
  type UsageOverTime,
} from './capacityHarness';
import type { ExperimentContext, ExperimentReport } from './context';

interface IdleSize {
  instances: number;
  documents: number;
}

interface ProcessCost extends UsageOverTime {
  sentBytesPerSecond: number;
  receivedBytesPerSecond: number;
}

interface IdleResult extends IdleSize {
  entry: ProcessCost;
  agent: ProcessCost;
  callsPerSecond: Record<string, number>;
}

const instanceSizes = [90, 360, 1080].map((instances) => ({ instances, documents: 27 }));
const documentSizes = [270, 2700].map((documents) => ({ instances: 90, documents }));
const settleMs = 12_000;
/** Agents read the instance list every 15 to 45 s, entries every 4 to 6 s. */
const windowMs = 45_000;

export async function runIdle(context: ExperimentContext): Promise<ExperimentReport> {
  const sizes = [...instanceSizes, ...documentSizes];
  const results = await Promise.all(
    sizes.map((size) => withHarness(context, (harness) => measureIdle(harness, size))),
  );
  return { text: renderIdle(results), figures: { results } };
}

async function measureIdle(harness: Harness, size: IdleSize): Promise<IdleResult> {
  const platformUrl = await startPlatform(harness);
  const [entryBytes, agentBytes] = [
    await startByteCounter(platformUrl),
    await startByteCounter(platformUrl),
  ];
  const entry = await startEntry(harness, 'entry-measured', entryBytes.address);
  await registerInstance(platformUrl, 'entry-measured', {
    kind: 'entry',
    dataCentre: localDataCentre,
    innerAddress: entry.addresses.innerAddress ?? '',
  });
  await applyDocuments(platformUrl, size.documents);
  const entryAdmin = entry.addresses.adminAddress ?? '';
  await waitForServices(entryAdmin, size.documents);
  await registerFakeInstances(platformUrl, size.instances);
  const agentAdmin = await startAgent(harness, platformUrl, agentBytes.address);
  await delay(settleMs);
  await resetCallCounts(platformUrl);
  const [entryCost, agentCost] = await Promise.all([
    measureProcess(entryAdmin, entryBytes),
    measureProcess(agentAdmin, agentBytes),
  ]);
  const calls = await readCallCounts(platformUrl);
  [entryBytes, agentBytes].forEach((counter) => counter.close());
  const callsPerSecond = Object.fromEntries(
    Object.entries(calls).map(([verb, count]) => [verb, count / entryCost.seconds]),
  );
  return { ...size, entry: entryCost, agent: agentCost, callsPerSecond };
}

/** Starts an agent of a plain service with a running backend server, so that the agent's polls of it are included. */
async function startAgent(
  harness: Harness,
  platformUrl: string,
  proxyAddress: string,
): Promise<string> {
  const server = await harness.start('server', 'standin-plain-service', { host });
  const agent = await harness.start('agent-measured', 'bluebell-agent', {
    instanceId: 'agent-measured',
    dataCentre: localDataCentre,
    service: serviceName(0),
    backendKind: 'plain',
    backendUrl: server.addresses.address ?? '',
    platformUrl: proxyAddress,
  });
  await registerInstance(platformUrl, 'agent-measured', {
    kind: 'agent',
    service: serviceName(0),
    role: 'plain',
    dataCentre: localDataCentre,
    innerAddress: agent.addresses.innerAddress ?? '',
  });
  return agent.addresses.adminAddress ?? '';
}

async function measureProcess(adminAddress: string, counter: ByteCounter): Promise<ProcessCost> {
  const bytesBefore = counter.totals();
  const stopUsageMeter = await startUsageMeter(adminAddress);
  await delay(windowMs);
  const usage = await stopUsageMeter();
  const bytes = counter.totals();
  return {
    ...usage,
    sentBytesPerSecond: (bytes.sent - bytesBefore.sent) / usage.seconds,
    receivedBytesPerSecond: (bytes.received - bytesBefore.received) / usage.seconds,
  };
}

function renderIdle(results: readonly IdleResult[]): string {
  const headers = ['process', 'listed instances', 'documents', 'resident MB', 'core %'];
  const rows = results.flatMap((result) =>
    (['entry', 'agent'] as const).map((name) => {
      const cost = result[name];
      return [
        name,
        String(result.instances),
        String(result.documents),
        formatMegabytes(cost.residentBytes),
        formatCorePercent(cost),
        cost.sentBytesPerSecond.toFixed(0),
        cost.receivedBytesPerSecond.toFixed(0),
        name === 'entry' ? formatCallRates(result.callsPerSecond) : '',
      ];
    }),
  );
  const moreHeaders = ['to platform B/s', 'from platform B/s', 'platform calls/s of both'];
  return renderTable([...headers, ...moreHeaders], rows);
}

export function formatCallRates(callsPerSecond: Readonly<Record<string, number>>): string {
  return Object.entries(callsPerSecond)
    .filter(([, rate]) => rate > 0)
    .map(([verb, rate]) => `${verb} ${rate.toFixed(2)}`)
    .join(', ');
}
