/** Batches of streams for the overhead experiment, sent through an entry or directly to the engines. */
import type { Agent } from 'undici';
import { callModel } from '../load/callerClient';
import { streamFromEngine } from '../load/engineClient';
import type { StreamTimes } from '../load/streamTiming';
import { runClosedLoop } from './closedLoop';
import { overheadEngine, findPromptWithOutput, type OverheadFleet } from './overheadFleet';

export const batchPaths = { direct: 'direct', entry: 'entry' } as const;
export type BatchPath = (typeof batchPaths)[keyof typeof batchPaths];

export interface BatchOptions {
  fleet: OverheadFleet;
  dispatcher: Agent;
  path: BatchPath;
  streamCount: number;
  rounds: number;
  outputTokens: number;
  promptTokens: number;
  /** Unique per batch; makes its prompts differ from those of all other batches. */
  label: string;
  signal: AbortSignal;
}

export interface BatchResult {
  times: StreamTimes[];
  failed: number;
  /** Distinct reasons of the failures. */
  failures: string[];
}

const responseTimeoutMs = 60_000;

type Outcome = { times: StreamTimes } | { failure: string };

export async function runBatch(options: BatchOptions): Promise<BatchResult> {
  const { streamCount, rounds, outputTokens, signal, path } = options;
  const rampUpMs = outputTokens * overheadEngine.stepBaseMs;
  const outcomes = await runClosedLoop({ streamCount, rounds, rampUpMs, signal }, (index) =>
    path === batchPaths.direct ? runDirect(options, index) : runThroughEntry(options, index),
  );
  const failures = outcomes.flatMap((outcome) => ('failure' in outcome ? [outcome.failure] : []));
  return {
    times: outcomes.flatMap((outcome) => ('times' in outcome ? [outcome.times] : [])),
    failed: failures.length,
    failures: [...new Set(failures)],
  };
}

function createPrompt({ label, fleet, promptTokens, outputTokens }: BatchOptions, index: number) {
  return findPromptWithOutput(`${label}-${index}`, fleet.engineModel, promptTokens, outputTokens);
}

async function runDirect(options: BatchOptions, index: number): Promise<Outcome> {
  const { fleet, dispatcher, outputTokens } = options;
  const { engineAddresses } = fleet;
  const response = await streamFromEngine({
    dispatcher,
    address: engineAddresses[index % engineAddresses.length] ?? '',
    model: fleet.engineModel,
    prompt: createPrompt(options, index),
    maxOutputTokens: outputTokens,
  }).catch((error: Error) => error);
  if (response instanceof Error) {
    return { failure: response.message };
  }
  return response.isComplete ? { times: response } : { failure: 'incomplete' };
}

async function runThroughEntry(options: BatchOptions, index: number): Promise<Outcome> {
  const { fleet, dispatcher, outputTokens, promptTokens, label } = options;
  const prompt = createPrompt(options, index);
  const response = await callModel({
    dispatcher,
    callerAddress: fleet.callerAddress,
    institution: fleet.institution,
    model: fleet.service,
    keyPrefix: label,
    timeoutMs: responseTimeoutMs,
    arrival: {
      kind: 'model',
      atMs: 0,
      id: `${label}-${index}`,
      prompt,
      promptTokens,
      sharedPrefix: { key: prompt, tokenCount: 0 },
      maxOutputTokens: outputTokens,
      className: 'counter',
      noRepeat: false,
    },
  });
  const { end } = response;
  if (end.kind === 'complete') {
    return { times: response };
  }
  return { failure: 'reason' in end ? `${end.kind}: ${end.reason}` : end.kind };
}
