/**
 * Streams and tokens per second that the load generator and this machine can handle when it calls stand-in engines
 * directly. Loads of other experiments must stay well below.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Agent } from 'undici';
import { computeQuantiles, type Quantiles } from '../accounting/quantiles';
import { startBinary, type RunningBinary } from '../fleet/childProcess';
import { streamFromEngine } from '../load/engineClient';
import { createDispatcher } from '../load/openLoop';
import { formatMs, renderTable } from '../report/table';
import { runClosedLoop } from './closedLoop';
import type { ExperimentContext, ExperimentReport } from './context';
import { describeMachine, readMachine } from './machine';
import { findPromptWithOutput } from './overheadFleet';

export interface CeilingOptions {
  /** Numbers of concurrent streams to measure. */
  levels: number[];
}

export interface CeilingLevel {
  streams: number;
  tokensPerSecond: number;
  answersPerSecond: number;
  /** The decode step of the engines takes `stepMs`; anything above it is caused by the machine or the generator. */
  betweenTokensMs: Quantiles;
  eventLoopDelayP99Ms: number;
}

const engineCount = 8;
const stepMs = 20;
const outputTokens = 100;
const promptTokens = 100;
const rounds = 3;
const model = 'ceiling-model';
const loopResolutionMs = 5;

export async function runCeiling(
  context: ExperimentContext,
  { levels }: CeilingOptions,
): Promise<ExperimentReport> {
  const before = readMachine();
  const engines = await Promise.all(
    Array.from({ length: engineCount }, (_, index) => startEngine(context, index)),
  );
  const results: CeilingLevel[] = [];
  try {
    for (const streams of levels) {
      results.push(await measureLevel(context, engines, streams));
    }
  } finally {
    await Promise.all(engines.map((engine) => engine.stop()));
  }
  const machine = { before, after: readMachine() };
  const text = [describeMachine(before, machine.after), '', renderLevels(results)].join('\n');
  return { text, figures: { stepMs, engineCount, levels: results, machine } };
}

function startEngine(context: ExperimentContext, index: number): Promise<RunningBinary> {
  const settings = {
    models: model,
    role: 'both',
    slotCount: 1_000,
    kvBytesPerToken: 1_000,
    stepBaseMs: stepMs,
    stepPerStreamMs: 0,
    prefillBaseMs: 0,
    prefillMsPerToken: 0,
  };
  return startBinary({ name: `engine-${index}`, binary: 'standin-engine', settings }, context);
}

async function measureLevel(
  { signal }: ExperimentContext,
  engines: readonly RunningBinary[],
  streamCount: number,
): Promise<CeilingLevel> {
  const dispatcher = createDispatcher();
  const loopDelay = monitorEventLoopDelay({ resolution: loopResolutionMs });
  const rampUpMs = outputTokens * stepMs;
  const startedAtMs = monotonicNowMs();
  loopDelay.enable();
  const responses = await runClosedLoop({ streamCount, rounds, rampUpMs, signal }, (index) =>
    requestFromEngine(dispatcher, engines, `ceiling ${streamCount} ${index}`, index),
  );
  loopDelay.disable();
  const seconds = (monotonicNowMs() - startedAtMs) / 1000;
  await dispatcher.destroy();
  const gapsMs = responses.flatMap((response) => response.gapsMs);
  return {
    streams: streamCount,
    tokensPerSecond: (gapsMs.length + responses.length) / seconds,
    answersPerSecond: responses.length / seconds,
    betweenTokensMs: computeQuantiles(gapsMs),
    eventLoopDelayP99Ms: Math.max(0, loopDelay.percentile(99) / 1e6 - loopResolutionMs),
  };
}

function requestFromEngine(
  dispatcher: Agent,
  engines: readonly RunningBinary[],
  label: string,
  index: number,
) {
  return streamFromEngine({
    dispatcher,
    address: engines[index % engines.length]?.addresses.address ?? '',
    model,
    prompt: findPromptWithOutput(label, model, promptTokens, outputTokens),
    maxOutputTokens: outputTokens,
  });
}

function renderLevels(levels: readonly CeilingLevel[]): string {
  const rows = levels.map((level) => {
    const { p50, p95, p99 } = level.betweenTokensMs;
    return [
      String(level.streams),
      level.tokensPerSecond.toFixed(0),
      level.answersPerSecond.toFixed(1),
      [p50, p95, p99].map(formatMs).join(' / '),
      formatMs(level.eventLoopDelayP99Ms),
    ];
  });
  const headers = ['streams', 'tokens/s', 'answers/s', 'between tokens p50 / p95 / p99 (ms)'];
  return renderTable([...headers, 'event loop p99 late (ms)'], rows);
}
