/**
 * What an entry and an agent cost without requests: resident memory, processor time, bytes and calls
 * of the platform, by the length of the list of instances and by the number of documents. The entry
 * is relay and acceptor as well, so that its figures hold for all of these.
 */
import { delay } from '@bluebellhitch/shared';
import { registerInstance } from '../fleet/controlCalls';
import { renderTable } from '../report/table';
import {
  applyDocuments,
  beginUsage,
  corePercent,
  countBytes,
  host,
  listInstances,
  localDataCentre,
  megabytes,
  readCalls,
  resetCalls,
  serviceName,
  startEntry,
  startPlatform,
  waitForServices,
  withLab,
  type ByteCounter,
  type Lab,
  type UsageOverTime,
} from './capacityLab';
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
/** Agents look at the list every 15 to 45 s, entries every 4 to 6 s. */
const windowMs = 45_000;

export async function runIdle(context: ExperimentContext): Promise<ExperimentReport> {
  const sizes = [...instanceSizes, ...documentSizes];
  const results = await Promise.all(
    sizes.map((size) => withLab(context, (lab) => measureIdle(lab, size))),
  );
  return { text: renderIdle(results), figures: { results } };
}

async function measureIdle(lab: Lab, size: IdleSize): Promise<IdleResult> {
  const platformUrl = await startPlatform(lab);
  const [entryBytes, agentBytes] = [await countBytes(platformUrl), await countBytes(platformUrl)];
  const entry = await startEntry(lab, 'entry-measured', entryBytes.address);
  await registerInstance(platformUrl, 'entry-measured', {
    kind: 'entry',
    dataCentre: localDataCentre,
    innerAddress: entry.addresses.innerAddress ?? '',
  });
  await applyDocuments(platformUrl, size.documents);
  const entryAdmin = entry.addresses.adminAddress ?? '';
  await waitForServices(entryAdmin, size.documents);
  await listInstances(platformUrl, size.instances);
  const agentAdmin = await startAgent(lab, platformUrl, agentBytes.address);
  await delay(settleMs);
  await resetCalls(platformUrl);
  const [entryCost, agentCost] = await Promise.all([
    measureProcess(entryAdmin, entryBytes),
    measureProcess(agentAdmin, agentBytes),
  ]);
  const calls = await readCalls(platformUrl);
  [entryBytes, agentBytes].forEach((counter) => counter.close());
  const callsPerSecond = Object.fromEntries(
    Object.entries(calls).map(([verb, count]) => [verb, count / entryCost.seconds]),
  );
  return { ...size, entry: entryCost, agent: agentCost, callsPerSecond };
}

/** An agent of a plain service with the real looks at a backend server that is up. */
async function startAgent(lab: Lab, platformUrl: string, viaAddress: string): Promise<string> {
  const server = await lab.start('server', 'standin-plain-service', { host });
  const agent = await lab.start('agent-measured', 'bluebell-agent', {
    instanceId: 'agent-measured',
    dataCentre: localDataCentre,
    service: serviceName(0),
    backendKind: 'plain',
    backendUrl: server.addresses.address ?? '',
    platformUrl: viaAddress,
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
  const endUsage = await beginUsage(adminAddress);
  await delay(windowMs);
  const usage = await endUsage();
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
        megabytes(cost.residentBytes),
        corePercent(cost),
        cost.sentBytesPerSecond.toFixed(0),
        cost.receivedBytesPerSecond.toFixed(0),
        name === 'entry' ? describeCalls(result.callsPerSecond) : '',
      ];
    }),
  );
  const more = ['to platform B/s', 'from platform B/s', 'platform calls/s of both'];
  return renderTable([...headers, ...more], rows);
}

export function describeCalls(callsPerSecond: Readonly<Record<string, number>>): string {
  return Object.entries(callsPerSecond)
    .filter(([, rate]) => rate > 0)
    .map(([verb, rate]) => `${verb} ${rate.toFixed(2)}`)
    .join(', ');
}
