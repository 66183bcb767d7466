/**
 * Time from an operator's edit until the document is active in each entry of one data centre, three of which are
 * relays, and the calls to the platform while idle.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { delay } from '@bluebellhitch/shared';
import { computeQuantiles, type Quantiles } from '../accounting/quantiles';
import { registerInstance } from '../fleet/controlCalls';
import { formatMs, renderTable } from '../report/table';
import { formatCallRates } from './capacityIdle';
import {
  applyDocuments,
  editDocument,
  localDataCentre,
  readCallCounts,
  resetCallCounts,
  serviceName,
  startPlatform,
  waitUntil,
  withHarness,
  type Harness,
} from './capacityHarness';
import type { ExperimentContext, ExperimentReport } from './context';

interface EntryProcess {
  child: ChildProcess;
  innerAddress: string;
  /** When each generation of a service's document became active, from the log of the process. */
  activeAtMs: Map<string, number>;
}

interface SpreadResult {
  processes: number;
  changes: number;
  /** From the edit until the document is active in each process. */
  eachMs: Quantiles;
  /** From the edit until the document is active in the last process. */
  lastMs: Quantiles;
  callsPerSecond: Record<string, number>;
}

const processCounts = [10, 30, 60];
const startConcurrency = 15;
const documentCount = 27;
const changeCount = 20;
const changeIntervalMs = 300;
/** Below the document's drain bound of 15 s; otherwise the document would be rejected. */
const firstRequestTimeoutMs = 11_000;
const settleMs = 7_000;
const idleMs = 6_000;
const finalWaitMs = 3_000;

export async function runSpread(context: ExperimentContext): Promise<ExperimentReport> {
  const results: SpreadResult[] = [];
  for (const processes of processCounts) {
    const result = await withHarness(context, (harness) =>
      measureSpread(context, harness, processes),
    );
    context.progress(`${processes} processes: p95 ${formatMs(result.eachMs.p95)} ms`);
    results.push(result);
  }
  const headers = ['processes', 'changes', 'edit to each process p50 / p95 / p99 ms'];
  const moreHeaders = ['edit to the last process p50 / p95 / max ms', 'platform calls/s at rest'];
  const rows = results.map(({ processes, changes, eachMs, lastMs, callsPerSecond }) => [
    String(processes),
    String(changes),
    [eachMs.p50, eachMs.p95, eachMs.p99].map(formatMs).join(' / '),
    [lastMs.p50, lastMs.p95, lastMs.max].map(formatMs).join(' / '),
    formatCallRates(callsPerSecond),
  ]);
  return { text: renderTable([...headers, ...moreHeaders], rows), figures: { results } };
}

async function measureSpread(
  context: ExperimentContext,
  harness: Harness,
  processes: number,
): Promise<SpreadResult> {
  const platformUrl = await startPlatform(harness);
  const entries: EntryProcess[] = [];
  try {
    for (let start = 0; start < processes; start += startConcurrency) {
      const indexes = Array.from(
        { length: Math.min(startConcurrency, processes - start) },
        (_, offset) => start + offset,
      );
      entries.push(
        ...(await Promise.all(
          indexes.map((index) => startEntryProcess(context, platformUrl, index)),
        )),
      );
    }
    await applyDocuments(platformUrl, documentCount);
    await waitUntil('not all documents are active in every entry', () =>
      Promise.resolve(entries.every(({ activeAtMs }) => activeAtMs.size >= documentCount)),
    );
    context.progress(`${processes} processes have all documents`);
    const callsPerSecond = await measureIdleCalls(platformUrl);
    return { processes, callsPerSecond, ...(await measureChanges(platformUrl, entries)) };
  } finally {
    await Promise.all(entries.map(({ child }) => killChild(child)));
  }
}

async function measureIdleCalls(platformUrl: string): Promise<Record<string, number>> {
  await delay(settleMs);
  await resetCallCounts(platformUrl);
  await delay(idleMs);
  const calls = await readCallCounts(platformUrl);
  return Object.fromEntries(
    Object.entries(calls).map(([verb, count]) => [verb, count / (idleMs / 1000)]),
  );
}

async function measureChanges(platformUrl: string, entries: readonly EntryProcess[]) {
  const editedAtMs: number[] = [];
  for (let change = 0; change < changeCount; change += 1) {
    editedAtMs.push(Date.now());
    await editDocument(platformUrl, serviceName(change), firstRequestTimeoutMs + change);
    await delay(changeIntervalMs);
  }
  await delay(finalWaitMs);
  const delaysMs = editedAtMs.map((atMs, change) =>
    entries.map(
      ({ activeAtMs }) => (activeAtMs.get(`${serviceName(change)}@2`) ?? Infinity) - atMs,
    ),
  );
  return {
    changes: changeCount,
    eachMs: computeQuantiles(delaysMs.flat()),
    lastMs: computeQuantiles(delaysMs.map((values) => Math.max(...values))),
  };
}

/** Starts an entry and reads from its log when each document becomes active. */
async function startEntryProcess(
  { binaryDirectory }: ExperimentContext,
  platformUrl: string,
  index: number,
): Promise<EntryProcess> {
  const instanceId = `entry-${index}`;
  const child = spawn(
    process.execPath,
    [
      join(binaryDirectory, 'bluebell-entry.js'),
      `--instance-id=${instanceId}`,
      `--data-centre=${localDataCentre}`,
      `--platform-url=${platformUrl}`,
      ...['entry', 'inner', 'admin'].map((side) => `--${side}-port=0`),
    ],
    {
      env: {
        ...process.env,
        BLUEBELL_EXIT_ON_STDIN_END: 'true',
        BLUEBELL_INSECURE_INNER: 'true',
      },
      stdio: ['pipe', 'pipe', 'ignore'],
      // A process group of its own: a signal to the bench must not stop the measured processes.
      detached: true,
    },
  );
  child.stdin?.on('error', () => undefined);
  const activeAtMs = new Map<string, number>();
  const innerAddress = await readLog(child, activeAtMs);
  await registerInstance(platformUrl, instanceId, {
    kind: 'entry',
    dataCentre: localDataCentre,
    innerAddress,
  });
  return { child, innerAddress, activeAtMs };
}

interface LogLine {
  time: string;
  message: string;
  context: { innerAddress?: string; service?: string; generation?: number };
}

/** Resolves with the inner address from the `listening` log line and continues to read. */
function readLog(child: ChildProcess, activeAtMs: Map<string, number>): Promise<string> {
  return new Promise((resolve, reject) => {
    child.once('close', (code) => reject(new Error(`an entry exited with code ${code}`)));
    if (child.stdout === null) {
      reject(new Error('the standard output of the entry is not piped'));
      return;
    }
    createInterface({ input: child.stdout }).on('line', (line) => {
      const { time, message, context } = JSON.parse(line) as LogLine;
      if (message === 'listening') {
        resolve(context.innerAddress ?? '');
      } else if (message === 'document in force') {
        activeAtMs.set(`${context.service}@${context.generation}`, Date.parse(time));
      }
    });
  });
}

/** Kills without a graceful stop: there are no requests to finish. */
async function killChild(child: ChildProcess): Promise<void> {
  if (child.exitCode === null && child.signalCode === null) {
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }
}
