/** Calls to the platform that entries and agents make while they start, with a relay already running. */
import { delay } from '@bluebellhitch/shared';
import { registerInstance } from '../fleet/controlCalls';
import { renderTable } from '../report/table';
import { formatCallRates } from './capacityIdle';
import {
  applyDocuments,
  host,
  localDataCentre,
  readCallCounts,
  resetCallCounts,
  serviceName,
  startEntry,
  startPlatform,
  waitForServices,
  withHarness,
  type Harness,
} from './capacityHarness';
import type { ExperimentContext, ExperimentReport } from './context';

interface StartsResult {
  kind: 'entry' | 'agent';
  processes: number;
  /** Without the relay's own calls, which are measured beforehand over the same period. */
  callsAProcess: Record<string, number>;
}

const processCounts = [2, 4, 8];
const documentCount = 27;
const settleMs = 7_000;
const windowMs = 6_000;

export async function runStarts(context: ExperimentContext): Promise<ExperimentReport> {
  const cases = processCounts.flatMap((processes) =>
    (['entry', 'agent'] as const).map((kind) => ({ kind, processes })),
  );
  const results = await Promise.all(
    cases.map((size) => withHarness(context, (harness) => measureStarts(harness, size))),
  );
  const rows = results.map(({ kind, processes, callsAProcess }) => [
    kind,
    String(processes),
    formatCallRates(callsAProcess),
  ]);
  const headers = ['process', 'started at once', 'calls a process in its first 6 s'];
  return { text: renderTable(headers, rows), figures: { results } };
}

async function measureStarts(
  harness: Harness,
  { kind, processes }: Pick<StartsResult, 'kind' | 'processes'>,
): Promise<StartsResult> {
  const platformUrl = await startPlatform(harness);
  const relay = await startEntry(harness, 'relay', platformUrl);
  const { adminAddress = '', innerAddress = '' } = relay.addresses;
  await registerInstance(platformUrl, 'relay', {
    kind: 'entry',
    dataCentre: localDataCentre,
    innerAddress,
  });
  await applyDocuments(platformUrl, documentCount);
  await waitForServices(adminAddress, documentCount);
  await delay(settleMs);
  const before = await countCalls(platformUrl, () => delay(windowMs));
  const during = await countCalls(platformUrl, async () => {
    const indexes = Array.from({ length: processes }, (_, index) => index);
    await Promise.all(indexes.map((index) => startProcess(harness, kind, index, platformUrl)));
    await delay(windowMs);
  });
  const callsAProcess = Object.fromEntries(
    Object.entries(during).map(([verb, count]) => [
      verb,
      (count - (before[verb] ?? 0)) / processes,
    ]),
  );
  return { kind, processes, callsAProcess };
}

async function countCalls(
  platformUrl: string,
  run: () => Promise<unknown>,
): Promise<Record<string, number>> {
  await resetCallCounts(platformUrl);
  await run();
  return readCallCounts(platformUrl);
}

async function startProcess(
  harness: Harness,
  kind: StartsResult['kind'],
  index: number,
  platformUrl: string,
): Promise<void> {
  if (kind === 'entry') {
    await startEntry(harness, `entry-${index}`, platformUrl);
    return;
  }
  await harness.start(`agent-${index}`, 'bluebell-agent', {
    instanceId: `agent-${index}`,
    dataCentre: localDataCentre,
    service: serviceName(0),
    backendKind: 'plain',
    backendUrl: `http://${host}:9`,
    platformUrl,
  });
}
