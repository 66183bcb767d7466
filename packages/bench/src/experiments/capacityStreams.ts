/** Cost of open streams for an entry and its agents: memory, processor time and control bytes. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { Agent } from 'undici';
import { readMetrics, sumSamples } from '../accounting/metricsText';
import { callModel } from '../load/callerClient';
import { createDispatcher } from '../load/openLoop';
import { renderTable } from '../report/table';
import {
  startUsageMeter,
  formatCorePercent,
  formatMegabytes,
  type UsageOverTime,
} from './capacityHarness';
import type { ExperimentContext, ExperimentReport } from './context';
import { findPromptWithOutput, startOverheadFleet, type OverheadFleet } from './overheadFleet';

interface StreamsResult {
  streams: number;
  entry: UsageOverTime;
  agents: UsageOverTime[];
  /** Heartbeat payload at the entry, both directions. */
  controlBytesPerSecond: number;
  complete: number;
}

const streamCounts = [0, 50, 100, 200];
const promptTokens = 200;
const outputTokens = 300;
const rampUpMs = 4_000;
const settleMs = 4_500;
const windowMs = 3_000;
const levelPauseMs = 2_000;
const responseTimeoutMs = 60_000;

export async function runStreams(context: ExperimentContext): Promise<ExperimentReport> {
  const fleet = await startOverheadFleet(context);
  const dispatcher = createDispatcher();
  const results: StreamsResult[] = [];
  try {
    for (const streams of streamCounts) {
      results.push(await measureLevel(fleet, dispatcher, streams));
      await delay(levelPauseMs);
    }
  } finally {
    await dispatcher.destroy();
    await fleet.stop();
  }
  return { text: renderStreams(results), figures: { promptTokens, outputTokens, results } };
}

async function measureLevel(
  fleet: OverheadFleet,
  dispatcher: Agent,
  streams: number,
): Promise<StreamsResult> {
  // Staggered: a burst of prompts would queue for prefill, and some requests would be refused.
  const responses = Array.from({ length: streams }, async (_, index) => {
    await delay((rampUpMs * index) / streams);
    return openStream(fleet, dispatcher, `${streams} ${index}`);
  });
  await delay(settleMs);
  const bytesBefore = await readControlBytes(fleet.entryAdmin);
  const startedAtMs = monotonicNowMs();
  const usageMeters = await Promise.all(
    [fleet.entryAdmin, ...fleet.agentAdmins].map(startUsageMeter),
  );
  await delay(windowMs);
  const [entry, ...agents] = await Promise.all(
    usageMeters.map((stopUsageMeter) => stopUsageMeter()),
  );
  const bytes = (await readControlBytes(fleet.entryAdmin)) - bytesBefore;
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  const complete = (await Promise.all(responses)).filter(
    ({ end }) => end.kind === 'complete',
  ).length;
  if (entry === undefined) {
    throw new Error('the fleet has no entry');
  }
  return { streams, entry, agents, controlBytesPerSecond: bytes / seconds, complete };
}

function openStream(fleet: OverheadFleet, dispatcher: Agent, label: string) {
  const { service, engineModel, institution, callerAddress } = fleet;
  const prompt = findPromptWithOutput(label, engineModel, promptTokens, outputTokens);
  return callModel({
    dispatcher,
    callerAddress,
    institution,
    keyPrefix: 'capacity',
    timeoutMs: responseTimeoutMs,
    model: service,
    arrival: {
      kind: 'model',
      atMs: 0,
      id: label,
      prompt,
      promptTokens,
      sharedPrefix: { key: label, tokenCount: 0 },
      maxOutputTokens: outputTokens,
      className: 'counter',
      noRepeat: false,
    },
  });
}

async function readControlBytes(adminAddress: string): Promise<number> {
  return sumSamples(await readMetrics(adminAddress), 'bluebell_control_bytes_total');
}

function renderStreams(results: readonly StreamsResult[]): string {
  const headers = ['streams', 'complete', 'entry MB', 'entry core %', 'agents MB', 'agents core %'];
  const rows = results.map(({ streams, complete, entry, agents, controlBytesPerSecond }) => [
    String(streams),
    String(complete),
    formatMegabytes(entry.residentBytes),
    formatCorePercent(entry),
    agents.map(({ residentBytes }) => formatMegabytes(residentBytes)).join(' / '),
    agents.map(formatCorePercent).join(' / '),
    controlBytesPerSecond.toFixed(0),
  ]);
  return renderTable([...headers, 'heartbeat payload B/s'], rows);
}
