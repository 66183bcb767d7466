/** Sends model requests and plain calls to an entry as callers do, and measures the times of the responses. */
import { callerHeaders } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { request, type Dispatcher } from 'undici';
import type { ModelArrival, PlainArrival } from '../traffic/trace';
import type { ResponseEnd, ModelResponse, PlainResponse } from './responses';
import { readEvents, type StreamEvent } from './eventReader';
import { createStreamTiming, type StreamTiming } from './streamTiming';

export interface CallOptions {
  dispatcher: Dispatcher;
  /** `http://ip:port` of the entry. */
  callerAddress: string;
  institution: string;
  /** Makes idempotency keys of this run differ from those of earlier runs of the same trace. */
  keyPrefix: string;
  /** Timeout of the complete response. */
  timeoutMs: number;
}

export interface ModelCallOptions extends CallOptions {
  /** Name of the service. */
  model: string;
  arrival: ModelArrival;
}

export interface PlainCallOptions extends CallOptions {
  arrival: PlainArrival;
}

const doneMarker = '[DONE]';

/** Sends a model request and reads its stream. Never rejects: failures are reported in `end`. */
export async function callModel(options: ModelCallOptions): Promise<ModelResponse> {
  const { arrival } = options;
  const timing = createStreamTiming();
  const controller = new AbortController();
  const timers = [
    setTimeout(() => controller.abort('timeout'), options.timeoutMs),
    ...(arrival.cancelAfterMs === undefined
      ? []
      : [setTimeout(() => controller.abort('cancelled'), arrival.cancelAfterMs)]),
  ];
  const end = await readModelResponse(options, timing, controller.signal).catch((error: unknown) =>
    classifyFailure(error, controller.signal, timing.read().firstTokenMs !== undefined),
  );
  timers.forEach((timer) => clearTimeout(timer));
  return { arrival, end, ...timing.read() };
}

async function readModelResponse(
  options: ModelCallOptions,
  timing: StreamTiming,
  signal: AbortSignal,
): Promise<ResponseEnd> {
  const { arrival, callerAddress, dispatcher, model } = options;
  const response = await request(`${callerAddress}/v1/completions`, {
    dispatcher,
    signal,
    method: 'POST',
    headers: buildHeaders(options, arrival),
    body: JSON.stringify({
      model,
      prompt: arrival.prompt,
      max_tokens: arrival.maxOutputTokens,
      stream: true,
    }),
  });
  response.body.setEncoding('utf8');
  if (response.statusCode !== 200) {
    return parseRefusal(response.statusCode, await response.body.text());
  }
  let end: ResponseEnd = { kind: 'incomplete', reason: 'no end marker' };
  for await (const event of readEvents(response.body as AsyncIterable<string>)) {
    end = handleEvent(event, timing) ?? end;
  }
  return end;
}

/** Returns how the response ended if the event is its last one. */
function handleEvent({ name, data }: StreamEvent, timing: StreamTiming): ResponseEnd | undefined {
  if (data === doneMarker) {
    return { kind: 'complete' };
  }
  if (name === 'error') {
    return { kind: 'incomplete', reason: parseErrorReason(data) };
  }
  const chunk = JSON.parse(data) as { choices?: { text?: string }[] };
  const text = chunk.choices?.[0]?.text;
  if (text !== undefined && text !== '') {
    timing.recordToken(text);
  }
  return undefined;
}

export async function callPlain(options: PlainCallOptions): Promise<PlainResponse> {
  const { arrival, callerAddress, dispatcher } = options;
  const startedAtMs = monotonicNowMs();
  let text = '';
  let end: ResponseEnd;
  try {
    const response = await request(`${callerAddress}${arrival.path}`, {
      dispatcher,
      method: arrival.method,
      signal: AbortSignal.timeout(options.timeoutMs),
      headers: buildHeaders(options, { ...arrival, noRepeat: false }),
      body: arrival.body,
    });
    text = await response.body.text();
    end =
      response.statusCode < 300 ? { kind: 'complete' } : parseRefusal(response.statusCode, text);
  } catch (error) {
    end = { kind: 'connection-failed', reason: resolveErrorCode(error) };
  }
  return { arrival, end, text, endMs: monotonicNowMs() - startedAtMs };
}

function buildHeaders(
  { institution, keyPrefix }: CallOptions,
  arrival: { id: string; className: string; noRepeat: boolean; hasIdempotencyKey?: boolean },
): Record<string, string> {
  const needsIdempotencyKey = arrival.noRepeat || arrival.hasIdempotencyKey === true;
  return {
    'content-type': 'application/json',
    [callerHeaders.institution]: institution,
    [callerHeaders.className]: arrival.className,
    ...(needsIdempotencyKey
      ? { [callerHeaders.idempotencyKey]: `${keyPrefix}-${arrival.id}` }
      : {}),
    ...(arrival.noRepeat ? { [callerHeaders.noRepeat]: 'true' } : {}),
  };
}

function parseRefusal(status: number, body: string): ResponseEnd {
  const problem = parseObject(body);
  const notRun = problem.notRun as boolean | 'unknown' | undefined;
  const reason = typeof problem.reason === 'string' ? problem.reason : `status-${status}`;
  const detail = typeof problem.detail === 'string' ? problem.detail : undefined;
  return { kind: 'refused', status, reason, notRun: notRun ?? 'unknown', detail };
}

function parseErrorReason(data: string): string {
  const { error } = parseObject(data) as { error?: { reason?: string } };
  return error?.reason ?? 'error event';
}

function parseObject(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return {};
  }
}

function classifyFailure(error: unknown, signal: AbortSignal, hasOutput: boolean): ResponseEnd {
  if (signal.aborted && signal.reason === 'cancelled') {
    return { kind: 'cancelled' };
  }
  const reason = signal.aborted ? 'timeout' : resolveErrorCode(error);
  return hasOutput ? { kind: 'incomplete', reason } : { kind: 'connection-failed', reason };
}

function resolveErrorCode(error: unknown): string {
  const { code, name } = Object(error) as { code?: string; name?: string };
  return code ?? name ?? 'unknown';
}
