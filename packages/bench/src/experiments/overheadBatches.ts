/** Batches of streams for the overhead experiment: the same answers with and without the system. */
import type { Agent } from 'undici';
import { callModel } from '../load/callerStream';
import { streamFromEngine } from '../load/engineStream';
import type { StreamTimes } from '../load/streamTiming';
import { runClosedLoop } from './closedLoop';
import { overheadEngine, promptWithOutput, type OverheadFleet } from './overheadFleet';

export const batchPaths = { direct: 'direct', entry: 'entry' } as const;
export type BatchPath = (typeof batchPaths)[keyof typeof batchPaths];

export interface BatchOptions {
  target: OverheadFleet;
  dispatcher: Agent;
  path: BatchPath;
  streamCount: number;
  rounds: number;
  outputTokens: number;
  promptTokens: number;
  /** Makes the prompts of this batch differ from those of all others. */
  label: string;
  signal: AbortSignal;
}

export interface BatchResult {
  times: StreamTimes[];
  failed: number;
  /** Reasons of the failures, once each. */
  failures: string[];
}

const answerBoundMs = 60_000;

type Outcome = { times: StreamTimes } | { failure: string };

export async function runBatch(options: BatchOptions): Promise<BatchResult> {
  const { streamCount, rounds, outputTokens, signal, path } = options;
  const spreadMs = outputTokens * overheadEngine.stepBaseMs;
  const outcomes = await runClosedLoop({ streamCount, rounds, spreadMs, signal }, (index) =>
    path === batchPaths.direct ? runDirect(options, index) : runThroughEntry(options, index),
  );
  const failures = outcomes.flatMap((outcome) => ('failure' in outcome ? [outcome.failure] : []));
  return {
    times: outcomes.flatMap((outcome) => ('times' in outcome ? [outcome.times] : [])),
    failed: failures.length,
    failures: [...new Set(failures)],
  };
}

function promptOf({ label, target, promptTokens, outputTokens }: BatchOptions, index: number) {
  return promptWithOutput(`${label}-${index}`, target.engineModel, promptTokens, outputTokens);
}

async function runDirect(options: BatchOptions, index: number): Promise<Outcome> {
  const { target, dispatcher, outputTokens } = options;
  const { engineAddresses } = target;
  const answer = await streamFromEngine({
    dispatcher,
    address: engineAddresses[index % engineAddresses.length] ?? '',
    model: target.engineModel,
    prompt: promptOf(options, index),
    maxOutputTokens: outputTokens,
  }).catch((error: Error) => error);
  if (answer instanceof Error) {
    return { failure: answer.message };
  }
  return answer.isComplete ? { times: answer } : { failure: 'incomplete' };
}

async function runThroughEntry(options: BatchOptions, index: number): Promise<Outcome> {
  const { target, dispatcher, outputTokens, promptTokens, label } = options;
  const prompt = promptOf(options, index);
  const answer = await callModel({
    dispatcher,
    callerAddress: target.callerAddress,
    institution: target.institution,
    model: target.service,
    keyPrefix: label,
    timeoutMs: answerBoundMs,
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
  const { end } = answer;
  if (end.kind === 'complete') {
    return { times: answer };
  }
  return { failure: 'reason' in end ? `${end.kind}: ${end.reason}` : end.kind };
}
