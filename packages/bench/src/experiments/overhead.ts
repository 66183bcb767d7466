/**
 * What entry and agent add to an answer, against asking the engine directly: latency of the first
 * token and of each token, processor time for each request and token, and resident memory.
 */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { quantilesOf } from '../accounting/quantiles';
import { readUsage, type ProcessUsage } from '../accounting/processUsage';
import { createDispatcher } from '../load/openLoop';
import { renderOverhead } from '../report/overheadReport';
import type { ExperimentContext, ExperimentReport } from './context';
import { readMachine } from './machine';
import { batchPaths, runBatch, type BatchOptions, type BatchResult } from './overheadBatches';
import type {
  OverheadFigures,
  OverheadLevel,
  OverheadOptions,
  PathTimes,
  ProcessorCost,
} from './overheadFigures';
import { startOverheadFleet, type OverheadFleet } from './overheadFleet';

/** A usual answer of the users' plan; the short one separates the cost of requests from that of tokens. */
const longTokens = 300;
const shortTokens = 8;
const roundsByStreams = (streams: number) => (streams === 1 ? 3 : 2);
const idleMs = 5_000;
const memoryPollMs = 2_000;
const pauseMs = 500;

export async function runOverhead(
  context: ExperimentContext,
  options: OverheadOptions,
): Promise<ExperimentReport> {
  const before = readMachine();
  const target = await startOverheadFleet(context);
  try {
    const idle = await measureIdle(target);
    await runBatch(batchOptions(context, target, options, 'warm-up', 20, 100));
    const levels: OverheadLevel[] = [];
    for (const streams of options.levels) {
      levels.push(await measureLevel(context, target, options, streams, idle));
      context.progress(`${streams} streams measured`);
    }
    const machine = { before, after: readMachine() };
    const figures: OverheadFigures = { options, longTokens, idle, levels, machine };
    return { text: renderOverhead(figures), figures };
  } finally {
    await target.stop();
  }
}

/** `cpuSeconds` is a rate here: processor seconds a second. */
async function measureIdle(target: OverheadFleet): Promise<OverheadFigures['idle']> {
  await delay(idleMs);
  const first = await readAllUsage(target);
  const startedAtMs = monotonicNowMs();
  await delay(idleMs);
  const second = await readAllUsage(target);
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  const rate = (later: ProcessUsage, earlier: ProcessUsage): ProcessUsage => ({
    cpuSeconds: (later.cpuSeconds - earlier.cpuSeconds) / seconds,
    residentBytes: later.residentBytes,
  });
  return { entry: rate(second.entry, first.entry), agent: rate(second.agent, first.agent) };
}

interface AllUsage {
  entry: ProcessUsage;
  /** Processor time of all agents, memory of the largest. */
  agent: ProcessUsage;
}

async function readAllUsage({ entryAdmin, agentAdmins }: OverheadFleet): Promise<AllUsage> {
  const [entry, agents] = await Promise.all([
    readUsage(entryAdmin),
    Promise.all(agentAdmins.map(readUsage)),
  ]);
  return {
    entry,
    agent: {
      cpuSeconds: agents.reduce((total, { cpuSeconds }) => total + cpuSeconds, 0),
      residentBytes: Math.max(...agents.map(({ residentBytes }) => residentBytes)),
    },
  };
}

function batchOptions(
  context: ExperimentContext,
  target: OverheadFleet,
  { promptTokens }: OverheadOptions,
  label: string,
  streamCount: number,
  outputTokens: number,
): BatchOptions {
  const { signal } = context;
  const rounds = roundsByStreams(streamCount);
  const dispatcher = createDispatcher();
  const path = batchPaths.entry;
  return {
    target,
    dispatcher,
    path,
    streamCount,
    rounds,
    outputTokens,
    promptTokens,
    label,
    signal,
  };
}

interface LevelBatches {
  direct: BatchResult[];
  long: MeteredBatch[];
  short: MeteredBatch[];
}

interface MeteredBatch {
  result: BatchResult;
  requests: number;
  tokens: number;
  seconds: number;
  used: AllUsage;
  peak: { entryBytes: number; agentBytes: number };
}

/** The kinds take turns, so that a disturbance of the machine meets all of them. */
async function measureLevel(
  context: ExperimentContext,
  target: OverheadFleet,
  options: OverheadOptions,
  streams: number,
  idle: OverheadFigures['idle'],
): Promise<OverheadLevel> {
  const batches: LevelBatches = { direct: [], long: [], short: [] };
  for (let repeat = 0; repeat < options.repeats && !context.signal.aborted; repeat += 1) {
    const label = `level ${streams} repeat ${repeat}`;
    const long = batchOptions(context, target, options, `${label} long`, streams, longTokens);
    const short = batchOptions(context, target, options, `${label} short`, streams, shortTokens);
    const direct = { ...long, label: `${label} direct`, path: batchPaths.direct };
    batches.direct.push(await runBatch(direct));
    batches.long.push(await meterBatch(target, long));
    batches.short.push(await meterBatch(target, { ...short, rounds: 2 * short.rounds }));
  }
  return summarizeLevel(streams, batches, idle);
}

async function meterBatch(target: OverheadFleet, options: BatchOptions): Promise<MeteredBatch> {
  const first = await readAllUsage(target);
  const startedAtMs = monotonicNowMs();
  const peak = { entryBytes: 0, agentBytes: 0 };
  const poll = setInterval(() => {
    void readAllUsage(target).then(({ entry, agent }) => {
      peak.entryBytes = Math.max(peak.entryBytes, entry.residentBytes);
      peak.agentBytes = Math.max(peak.agentBytes, agent.residentBytes);
    });
  }, memoryPollMs);
  const result = await runBatch(options);
  clearInterval(poll);
  const last = await readAllUsage(target);
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  await delay(pauseMs);
  return {
    result,
    requests: result.times.length,
    tokens: result.times.reduce((total, { gapsMs }) => total + gapsMs.length + 1, 0),
    seconds,
    peak: {
      entryBytes: Math.max(peak.entryBytes, last.entry.residentBytes),
      agentBytes: Math.max(peak.agentBytes, last.agent.residentBytes),
    },
    used: {
      entry: usageBetween(first.entry, last.entry),
      agent: usageBetween(first.agent, last.agent),
    },
  };
}

function usageBetween(first: ProcessUsage, last: ProcessUsage): ProcessUsage {
  return {
    cpuSeconds: last.cpuSeconds - first.cpuSeconds,
    residentBytes: last.residentBytes,
  };
}

function summarizeLevel(
  streams: number,
  batches: LevelBatches,
  idle: OverheadFigures['idle'],
): OverheadLevel {
  const entryBatches = [...batches.long, ...batches.short];
  const allResults = [...batches.direct, ...entryBatches.map(({ result }) => result)];
  return {
    streams,
    direct: pathTimes(batches.direct),
    entry: pathTimes(batches.long.map(({ result }) => result)),
    entryCost: costOf(batches, ({ entry }) => entry.cpuSeconds, idle.entry.cpuSeconds),
    agentCost: costOf(batches, ({ agent }) => agent.cpuSeconds, idle.agent.cpuSeconds),
    peakEntryBytes: Math.max(...entryBatches.map(({ peak }) => peak.entryBytes)),
    peakAgentBytes: Math.max(...entryBatches.map(({ peak }) => peak.agentBytes)),
    failures: [...new Set(allResults.flatMap(({ failures }) => failures))],
  };
}

function pathTimes(results: readonly BatchResult[]): PathTimes {
  const times = results.flatMap((result) => result.times);
  return {
    firstTokenMs: quantilesOf(times.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    betweenTokensMs: quantilesOf(times.flatMap(({ gapsMs }) => gapsMs)),
    answerMs: quantilesOf(times.map(({ endMs }) => endMs)),
    failed: results.reduce((total, { failed }) => total + failed, 0),
  };
}

/** Long and short answers differ in their tokens alone: two equations for two unknowns. */
function costOf(
  batches: LevelBatches,
  cpuSecondsOf: (used: AllUsage) => number,
  idleRate: number,
): ProcessorCost {
  const perRequest = (kind: readonly MeteredBatch[]) => {
    const total = (valueOf: (batch: MeteredBatch) => number) =>
      kind.reduce((sum, batch) => sum + valueOf(batch), 0);
    const busySeconds = total(({ used, seconds }) => cpuSecondsOf(used) - idleRate * seconds);
    const requests = Math.max(
      1,
      total((batch) => batch.requests),
    );
    return { us: (busySeconds * 1e6) / requests, tokens: total(({ tokens }) => tokens) / requests };
  };
  const long = perRequest(batches.long);
  const short = perRequest(batches.short);
  const perTokenUs = (long.us - short.us) / Math.max(1, long.tokens - short.tokens);
  return { perTokenUs, perRequestUs: short.us - short.tokens * perTokenUs };
}
