/**
 * Cost of a relay by the number of long polls that wait at it: while idle, and for each accepted change, which
 * answers them all. This process sends the polls, through the feed client that entries and agents use.
 */
import { createFeedClient } from '@bluebellhitch/membership';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { computeQuantiles } from '../accounting/quantiles';
import { registerInstance } from '../fleet/controlCalls';
import { formatMs, renderTable } from '../report/table';
import {
  applyDocuments,
  startUsageMeter,
  formatCorePercent,
  startByteCounter,
  editDocument,
  localDataCentre,
  formatMegabytes,
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

interface FeedResult {
  polls: number;
  rest: UsageOverTime;
  bytesAPollAtRest: number;
  cpuMsAChange: number;
  bytesAPollAndChange: number;
  changes: number;
  /** From each edit to the last response, for edits that all polls received. */
  lastAnswerMs: number[];
}

interface Pollers {
  answeredAtMs: Map<string, number[]>;
  stop(): Promise<void>;
}

const pollCounts = [20, 60, 180];
const documentCount = 27;
const changeCount = 10;
const changeIntervalMs = 1000;
const idleMs = 20_000;
/** Entries and agents poll for 25 s; with a shorter wait each poll ends within the measured window. */
const pollWaitMs = 10_000;
/** Below the document's drain bound of 15 s; otherwise the document would be rejected. */
const firstRequestTimeoutMs = 11_000;
/** After this time all polls have a cursor and wait for changes. */
const warmUpMs = 11_000;
const pollDelayMs = 50;

export async function runFeed(context: ExperimentContext): Promise<ExperimentReport> {
  const results = await Promise.all(
    pollCounts.map((polls) => withHarness(context, (harness) => measureRelay(harness, polls))),
  );
  const headers = ['waiting polls', 'resident MB', 'core % at rest', 'bytes a poll at rest'];
  const moreHeaders = [
    'ms of processor a change',
    'bytes a poll and change',
    'edit to last answer p50 / p95 ms',
  ];
  const rows = results.map((result) => {
    const { p50, p95 } = computeQuantiles(result.lastAnswerMs);
    return [
      String(result.polls),
      formatMegabytes(result.rest.residentBytes),
      formatCorePercent(result.rest),
      result.bytesAPollAtRest.toFixed(0),
      result.cpuMsAChange.toFixed(1),
      result.bytesAPollAndChange.toFixed(0),
      `${formatMs(p50)} / ${formatMs(p95)}`,
    ];
  });
  return { text: renderTable([...headers, ...moreHeaders], rows), figures: { results } };
}

async function measureRelay(harness: Harness, polls: number): Promise<FeedResult> {
  const platformUrl = await startPlatform(harness);
  const entry = await startEntry(harness, 'relay', platformUrl);
  const { adminAddress = '', innerAddress = '' } = entry.addresses;
  await registerInstance(platformUrl, 'relay', {
    kind: 'entry',
    dataCentre: localDataCentre,
    innerAddress,
  });
  await applyDocuments(platformUrl, documentCount);
  await waitForServices(adminAddress, documentCount);
  const counter = await startByteCounter(innerAddress);
  const pollers = startPollers(counter.address, polls);
  await delay(warmUpMs);
  const rest = await measureIdle(adminAddress, counter, polls);
  const changed = await measureChanges(platformUrl, adminAddress, counter, pollers, polls, rest);
  await pollers.stop();
  counter.close();
  return { polls, ...rest, ...changed };
}

function startPollers(address: string, count: number): Pollers {
  const stop = new AbortController();
  const callFeed = createFeedClient();
  const answeredAtMs = new Map<string, number[]>();
  async function runPollLoop(): Promise<void> {
    let cursor: string | undefined;
    while (!stop.signal.aborted) {
      const reply = await callFeed(address, { cursor, waitMs: pollWaitMs }, stop.signal);
      if (reply.isOk()) {
        cursor = reply.value.cursor;
        reply.value.records.forEach(({ key, generation }) => {
          const name = `${key}@${generation}`;
          answeredAtMs.set(name, [...(answeredAtMs.get(name) ?? []), monotonicNowMs()]);
        });
      }
      await delay(pollDelayMs, stop.signal);
    }
  }
  const pollLoops = Promise.all(Array.from({ length: count }, runPollLoop));
  return {
    answeredAtMs,
    async stop() {
      stop.abort();
      await pollLoops;
    },
  };
}

async function measureIdle(adminAddress: string, counter: ByteCounter, polls: number) {
  const before = totalBytes(counter);
  const stopUsageMeter = await startUsageMeter(adminAddress);
  await delay(idleMs);
  const rest = await stopUsageMeter();
  const pollsEnded = polls * (rest.seconds / (pollWaitMs / 1000));
  return { rest, bytesAPollAtRest: (totalBytes(counter) - before) / pollsEnded };
}

async function measureChanges(
  platformUrl: string,
  adminAddress: string,
  counter: ByteCounter,
  pollers: Pollers,
  polls: number,
  { rest }: { rest: UsageOverTime },
) {
  const before = totalBytes(counter);
  const stopUsageMeter = await startUsageMeter(adminAddress);
  const editedAtMs: number[] = [];
  for (let change = 0; change < changeCount; change += 1) {
    editedAtMs.push(monotonicNowMs());
    await editDocument(platformUrl, serviceName(change), firstRequestTimeoutMs + change);
    await delay(changeIntervalMs);
  }
  const usage = await stopUsageMeter();
  const idleCpuSeconds = (rest.cpuSeconds / rest.seconds) * usage.seconds;
  const lastAnswerMs = editedAtMs.flatMap((atMs, change) => {
    const responseTimesMs = pollers.answeredAtMs.get(`${serviceName(change)}@2`) ?? [];
    return responseTimesMs.length === polls ? [Math.max(...responseTimesMs) - atMs] : [];
  });
  return {
    cpuMsAChange: ((usage.cpuSeconds - idleCpuSeconds) * 1000) / changeCount,
    bytesAPollAndChange: (totalBytes(counter) - before) / (changeCount * polls),
    changes: lastAnswerMs.length,
    lastAnswerMs,
  };
}

function totalBytes(counter: ByteCounter): number {
  const { sent, received } = counter.totals();
  return sent + received;
}
