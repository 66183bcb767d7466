/**
 * Creates traces of requests with Poisson arrivals; the same seed gives the same trace. Prompts share prefixes as
 * those of the institutions do, and each ends with a unique part, so that a response to another request is detected.
 */
import type { Random } from '@bluebellhitch/shared';
import {
  createLabelledRandom,
  drawInterarrivalMs,
  drawLogUniform,
  drawWeighted,
  drawZipf,
} from './distributions';
import type { InstitutionMix, ModelMix, PlainMix, PromptKind } from './mixes';
import { createText } from './promptText';

export interface ModelArrival {
  kind: 'model';
  /** Milliseconds from the start of the trace. */
  atMs: number;
  /** Unique within a trace. */
  id: string;
  prompt: string;
  promptTokens: number;
  /** Leading tokens shared by all requests with the same history; used to estimate reuse. */
  sharedPrefix: { key: string; tokenCount: number };
  maxOutputTokens: number;
  className: string;
  noRepeat: boolean;
  /** When the caller cancels, in milliseconds after the arrival; undefined if never. */
  cancelAfterMs?: number;
}

export interface PlainArrival {
  kind: 'plain';
  atMs: number;
  id: string;
  method: 'GET' | 'POST';
  path: string;
  /** Text that the response to this call must contain. */
  marker: string;
  body?: string;
  hasIdempotencyKey: boolean;
  className: string;
}

export type Arrival = ModelArrival | PlainArrival;

export interface TraceOptions {
  seed: number;
  mix: InstitutionMix;
  /** Rate of model requests; plain calls are added to it. */
  ratePerSecond: number;
  durationMs: number;
}

const cancelAfterRangeMs = { min: 50, max: 1_500 };

/** Creates the arrivals of both kinds, ordered by time. */
export function createTrace(options: TraceOptions): Arrival[] {
  const { seed, mix, ratePerSecond, durationMs } = options;
  const modelRandom = createLabelledRandom(`models ${seed}`);
  const plainRandom = createLabelledRandom(`plain calls ${seed}`);
  const texts = createTextCache();
  const modelTimes = drawArrivalTimes(ratePerSecond, durationMs, modelRandom);
  const modelRequests = modelTimes.map((atMs, index) =>
    drawModelArrival({
      mix: mix.model,
      random: modelRandom,
      texts,
      atMs,
      id: `${seed}-${index}`,
    }),
  );
  const plainRate = ratePerSecond * mix.plain.callsPerModelRequest;
  const plainCalls = drawArrivalTimes(plainRate, durationMs, plainRandom).map((atMs, index) =>
    drawPlainArrival(mix.plain, plainRandom, atMs, `${seed}-plain-${index}`),
  );
  return [...modelRequests, ...plainCalls].sort((left, right) => left.atMs - right.atMs);
}

export function isModelArrival(arrival: Arrival): arrival is ModelArrival {
  return arrival.kind === 'model';
}

function drawArrivalTimes(ratePerSecond: number, durationMs: number, random: Random): number[] {
  const times: number[] = [];
  let atMs = ratePerSecond > 0 ? drawInterarrivalMs(ratePerSecond, random) : durationMs;
  while (atMs < durationMs) {
    times.push(atMs);
    atMs += drawInterarrivalMs(ratePerSecond, random);
  }
  return times;
}

type TextCache = (label: string, tokenCount: number) => string;

/** Caches texts, because histories are long and drawn often. */
function createTextCache(): TextCache {
  const texts = new Map<string, string>();
  return (label, tokenCount) => {
    const text = texts.get(label) ?? createText(label, tokenCount);
    texts.set(label, text);
    return text;
  };
}

interface DrawOptions {
  mix: ModelMix;
  random: Random;
  texts: TextCache;
  atMs: number;
  id: string;
}

function drawModelArrival({ mix, random, texts, atMs, id }: DrawOptions): ModelArrival {
  const kind = drawWeighted(mix.prompts, random);
  const prefix = drawPrefix(kind, texts, random);
  const question = createText(`request ${id}`, drawLogUniform(kind.questionTokens, random));
  const prompt = `${prefix.text}${question}`;
  const maxOutputTokens = drawLogUniform(mix.outputTokens, random);
  const className = drawWeighted(mix.classes, random).name;
  const noRepeat = random() < mix.noRepeatRatio;
  const isCancelled = random() < mix.cancelRatio;
  const drawnCancelAfterMs = drawLogUniform(cancelAfterRangeMs, random);
  return {
    kind: 'model',
    atMs,
    id,
    prompt,
    promptTokens: Math.ceil(prompt.length / 4),
    sharedPrefix: { key: prefix.key, tokenCount: prefix.tokenCount },
    maxOutputTokens,
    className,
    noRepeat,
    cancelAfterMs: isCancelled ? drawnCancelAfterMs : undefined,
  };
}

function drawPrefix(kind: PromptKind, texts: TextCache, random: Random) {
  const template = texts(`${kind.name} template`, kind.templateTokens);
  if (kind.historyCount === 0) {
    return { key: kind.name, text: template, tokenCount: kind.templateTokens };
  }
  const index = drawZipf(kind.historyCount, random);
  const key = `${kind.name} history ${index}`;
  // The length depends on the label only, so it is the same for every draw and every seed of a trace.
  const historyTokens = drawLogUniform(kind.historyTokens, createLabelledRandom(`${key} length`));
  const text = `${template}${texts(key, historyTokens)}`;
  return { key, text, tokenCount: kind.templateTokens + historyTokens };
}

function drawPlainArrival(mix: PlainMix, random: Random, atMs: number, id: string): PlainArrival {
  const { method, pathPrefix, hasIdempotencyKey } = drawWeighted(mix.calls, random);
  const isLookup = method === 'GET';
  return {
    kind: 'plain',
    atMs,
    id,
    method,
    path: isLookup ? `${pathPrefix}${id}` : pathPrefix,
    marker: id,
    body: isLookup ? undefined : JSON.stringify({ id }),
    hasIdempotencyKey,
    className: mix.className,
  };
}
