/**
 * Overhead of entry and agent compared with calling the engine directly: latency of the first token and between
 * tokens, processor time per request and per token, and resident memory.
 */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { computeQuantiles } from '../accounting/quantiles';
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

/** Typical response length; the short one separates the cost of a request from that of its tokens. */
const longTokens = 300;
const shortTokens = 8;
const resolveRounds = (streams: number) => (streams === 1 ? 3 : 2);
const idleMs = 5_000;
const memoryPollIntervalMs = 2_000;
const batchPauseMs = 500;

export async function runOverhead(
  context: ExperimentContext,
  options: OverheadOptions,
): Promise<ExperimentReport> {
  const before = readMachine();
  const fleet = await startOverheadFleet(context);
  try {
    const idle = await measureIdle(fleet);
    await runBatch(createBatchOptions(context, fleet, options, 'warm-up', 20, 100));
    const levels: OverheadLevel[] = [];
    for (const streams of options.levels) {
      levels.push(await measureLevel(context, fleet, options, streams, idle));
      context.progress(`${streams} streams measured`);
    }
    const machine = { before, after: readMachine() };
    const figures: OverheadFigures = { options, longTokens, idle, levels, machine };
    return { text: renderOverhead(figures), figures };
  } finally {
    await fleet.stop();
  }
}

/** Here `cpuSeconds` is a rate: processor seconds per second. */
async function measureIdle(fleet: OverheadFleet): Promise<OverheadFigures['idle']> {
  await delay(idleMs);
  const first = await readFleetUsage(fleet);
  const startedAtMs = monotonicNowMs();
  await delay(idleMs);
  const second = await readFleetUsage(fleet);
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  const rate = (later: ProcessUsage, earlier: ProcessUsage): ProcessUsage => ({
    cpuSeconds: (later.cpuSeconds - earlier.cpuSeconds) / seconds,
    residentBytes: later.residentBytes,
  });
  return { entry: rate(second.entry, first.entry), agent: rate(second.agent, first.agent) };
}

interface FleetUsage {
  entry: ProcessUsage;
  /** Processor time of all agents together, memory of the largest. */
  agent: ProcessUsage;
}

async function readFleetUsage({ entryAdmin, agentAdmins }: OverheadFleet): Promise<FleetUsage> {
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

function createBatchOptions(
  context: ExperimentContext,
  fleet: OverheadFleet,
  { promptTokens }: OverheadOptions,
  label: string,
  streamCount: number,
  outputTokens: number,
): BatchOptions {
  const { signal } = context;
  const rounds = resolveRounds(streamCount);
  const dispatcher = createDispatcher();
  const path = batchPaths.entry;
  return {
    fleet,
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
  used: FleetUsage;
  peak: { entryBytes: number; agentBytes: number };
}

/** Alternates the kinds of batches, so that other load on the machine affects all of them alike. */
async function measureLevel(
  context: ExperimentContext,
  fleet: OverheadFleet,
  options: OverheadOptions,
  streams: number,
  idle: OverheadFigures['idle'],
): Promise<OverheadLevel> {
  const batches: LevelBatches = { direct: [], long: [], short: [] };
  for (let repeat = 0; repeat < options.repeats && !context.signal.aborted; repeat += 1) {
    const label = `level ${streams} repeat ${repeat}`;
    const long = createBatchOptions(context, fleet, options, `${label} long`, streams, longTokens);
    const short = createBatchOptions(
      context,
      fleet,
      options,
      `${label} short`,
      streams,
      shortTokens,
    );
    const direct = { ...long, label: `${label} direct`, path: batchPaths.direct };
    batches.direct.push(await runBatch(direct));
    batches.long.push(await meterBatch(fleet, long));
    batches.short.push(await meterBatch(fleet, { ...short, rounds: 2 * short.rounds }));
  }
  return summarizeLevel(streams, batches, idle);
}

async function meterBatch(fleet: OverheadFleet, options: BatchOptions): Promise<MeteredBatch> {
  const first = await readFleetUsage(fleet);
  const startedAtMs = monotonicNowMs();
  const peak = { entryBytes: 0, agentBytes: 0 };
  const poll = setInterval(() => {
    void readFleetUsage(fleet).then(({ entry, agent }) => {
      peak.entryBytes = Math.max(peak.entryBytes, entry.residentBytes);
      peak.agentBytes = Math.max(peak.agentBytes, agent.residentBytes);
    });
  }, memoryPollIntervalMs);
  const result = await runBatch(options);
  clearInterval(poll);
  const last = await readFleetUsage(fleet);
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  await delay(batchPauseMs);
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
      entry: subtractUsage(first.entry, last.entry),
      agent: subtractUsage(first.agent, last.agent),
    },
  };
}

function subtractUsage(first: ProcessUsage, last: ProcessUsage): ProcessUsage {
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
    direct: summarizeTimes(batches.direct),
    entry: summarizeTimes(batches.long.map(({ result }) => result)),
    entryCost: estimateCost(batches, ({ entry }) => entry.cpuSeconds, idle.entry.cpuSeconds),
    agentCost: estimateCost(batches, ({ agent }) => agent.cpuSeconds, idle.agent.cpuSeconds),
    peakEntryBytes: Math.max(...entryBatches.map(({ peak }) => peak.entryBytes)),
    peakAgentBytes: Math.max(...entryBatches.map(({ peak }) => peak.agentBytes)),
    failures: [...new Set(allResults.flatMap(({ failures }) => failures))],
  };
}

function summarizeTimes(results: readonly BatchResult[]): PathTimes {
  const times = results.flatMap((result) => result.times);
  return {
    firstTokenMs: computeQuantiles(times.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    betweenTokensMs: computeQuantiles(times.flatMap(({ gapsMs }) => gapsMs)),
    answerMs: computeQuantiles(times.map(({ endMs }) => endMs)),
    failed: results.reduce((total, { failed }) => total + failed, 0),
  };
}

/** Long and short responses differ only in their number of tokens, which gives two equations for two unknowns. */
function estimateCost(
  batches: LevelBatches,
  cpuSecondsOf: (used: FleetUsage) => number,
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
