/**
 * What a relay costs by the number of polls that wait at it: at rest, and for each accepted change,
 * which wakes them all. The polls come from this process, by the client that followers use.
 */
import { createFeedClient } from '@bluebellhitch/membership';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { quantilesOf } from '../accounting/quantiles';
import { registerInstance } from '../fleet/controlCalls';
import { formatMs, renderTable } from '../report/table';
import {
  applyDocuments,
  beginUsage,
  corePercent,
  countBytes,
  editDocument,
  localDataCentre,
  megabytes,
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

interface FeedResult {
  polls: number;
  rest: UsageOverTime;
  bytesAPollAtRest: number;
  cpuMsAChange: number;
  bytesAPollAndChange: number;
  changes: number;
  /** From the edit to the last of the polls that were answered. */
  lastAnswerMs: number[];
}

interface Pollers {
  answeredAt: Map<string, number[]>;
  stop(): Promise<void>;
}

const pollCounts = [20, 60, 180];
const documentCount = 27;
const changeCount = 10;
const changePauseMs = 1000;
const restMs = 20_000;
/** Followers wait 25 s; a shorter wait gives each poll an end inside the window. */
const pollWaitMs = 10_000;
/** Below the drain bound of the document, which would otherwise be rejected. */
const firstTimeoutMs = 11_000;
/** By then all polls have a position and wait. */
const warmUpMs = 11_000;
const pollPauseMs = 50;

export async function runFeed(context: ExperimentContext): Promise<ExperimentReport> {
  const results = await Promise.all(
    pollCounts.map((polls) => withLab(context, (lab) => measureRelay(lab, polls))),
  );
  const headers = ['waiting polls', 'resident MB', 'core % at rest', 'bytes a poll at rest'];
  const more = [
    'ms of processor a change',
    'bytes a poll and change',
    'edit to last answer p50 / p95 ms',
  ];
  const rows = results.map((result) => {
    const { p50, p95 } = quantilesOf(result.lastAnswerMs);
    return [
      String(result.polls),
      megabytes(result.rest.residentBytes),
      corePercent(result.rest),
      result.bytesAPollAtRest.toFixed(0),
      result.cpuMsAChange.toFixed(1),
      result.bytesAPollAndChange.toFixed(0),
      `${formatMs(p50)} / ${formatMs(p95)}`,
    ];
  });
  return { text: renderTable([...headers, ...more], rows), figures: { results } };
}

async function measureRelay(lab: Lab, polls: number): Promise<FeedResult> {
  const platformUrl = await startPlatform(lab);
  const entry = await startEntry(lab, 'relay', platformUrl);
  const { adminAddress = '', innerAddress = '' } = entry.addresses;
  await registerInstance(platformUrl, 'relay', {
    kind: 'entry',
    dataCentre: localDataCentre,
    innerAddress,
  });
  await applyDocuments(platformUrl, documentCount);
  await waitForServices(adminAddress, documentCount);
  const counter = await countBytes(innerAddress);
  const pollers = startPollers(counter.address, polls);
  await delay(warmUpMs);
  const rest = await measureRest(adminAddress, counter, polls);
  const changed = await measureChanges(platformUrl, adminAddress, counter, pollers, polls, rest);
  await pollers.stop();
  counter.close();
  return { polls, ...rest, ...changed };
}

function startPollers(address: string, count: number): Pollers {
  const stop = new AbortController();
  const callFeed = createFeedClient();
  const answeredAt = new Map<string, number[]>();
  async function follow(): Promise<void> {
    let cursor: string | undefined;
    while (!stop.signal.aborted) {
      const reply = await callFeed(address, { cursor, waitMs: pollWaitMs }, stop.signal);
      if (reply.isOk()) {
        cursor = reply.value.cursor;
        reply.value.records.forEach(({ key, generation }) => {
          const name = `${key}@${generation}`;
          answeredAt.set(name, [...(answeredAt.get(name) ?? []), monotonicNowMs()]);
        });
      }
      await delay(pollPauseMs, stop.signal);
    }
  }
  const followers = Promise.all(Array.from({ length: count }, follow));
  return {
    answeredAt,
    async stop() {
      stop.abort();
      await followers;
    },
  };
}

async function measureRest(adminAddress: string, counter: ByteCounter, polls: number) {
  const before = totalBytes(counter);
  const endUsage = await beginUsage(adminAddress);
  await delay(restMs);
  const rest = await endUsage();
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
  const endUsage = await beginUsage(adminAddress);
  const editedAtMs: number[] = [];
  for (let change = 0; change < changeCount; change += 1) {
    editedAtMs.push(monotonicNowMs());
    await editDocument(platformUrl, serviceName(change), firstTimeoutMs + change);
    await delay(changePauseMs);
  }
  const usage = await endUsage();
  const restCpu = (rest.cpuSeconds / rest.seconds) * usage.seconds;
  const lastAnswerMs = editedAtMs.flatMap((atMs, change) => {
    const answers = pollers.answeredAt.get(`${serviceName(change)}@2`) ?? [];
    return answers.length === polls ? [Math.max(...answers) - atMs] : [];
  });
  return {
    cpuMsAChange: ((usage.cpuSeconds - restCpu) * 1000) / changeCount,
    bytesAPollAndChange: (totalBytes(counter) - before) / (changeCount * polls),
    changes: lastAnswerMs.length,
    lastAnswerMs,
  };
}

function totalBytes(counter: ByteCounter): number {
  const { sent, received } = counter.totals();
  return sent + received;
}
