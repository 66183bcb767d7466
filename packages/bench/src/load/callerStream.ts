/** Sends model requests and plain calls to an entry as callers do, and times their answers. */
import { callerHeaders } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { request, type Dispatcher } from 'undici';
import type { ModelArrival, PlainArrival } from '../traffic/trace';
import type { AnswerEnd, ModelAnswer, PlainAnswer } from './answers';
import { readEvents, type StreamEvent } from './eventReader';
import { createStreamTiming, type StreamTiming } from './streamTiming';

export interface CallOptions {
  dispatcher: Dispatcher;
  /** `http://ip:port` of the entry. */
  callerAddress: string;
  institution: string;
  /** Makes idempotency keys of this run differ from those of earlier runs of the same trace. */
  keyPrefix: string;
  /** Bound of the whole answer. */
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

/** Never rejects: whatever went wrong is the answer's end. */
export async function callModel(options: ModelCallOptions): Promise<ModelAnswer> {
  const { arrival } = options;
  const timing = createStreamTiming();
  const leave = new AbortController();
  const timers = [
    setTimeout(() => leave.abort('timeout'), options.timeoutMs),
    ...(arrival.cancelAfterMs === undefined
      ? []
      : [setTimeout(() => leave.abort('cancelled'), arrival.cancelAfterMs)]),
  ];
  const end = await readModelAnswer(options, timing, leave.signal).catch((error: unknown) =>
    endOfFailure(error, leave.signal, timing.read().firstTokenMs !== undefined),
  );
  timers.forEach((timer) => clearTimeout(timer));
  return { arrival, end, ...timing.read() };
}

async function readModelAnswer(
  options: ModelCallOptions,
  timing: StreamTiming,
  signal: AbortSignal,
): Promise<AnswerEnd> {
  const { arrival, callerAddress, dispatcher, model } = options;
  const response = await request(`${callerAddress}/v1/completions`, {
    dispatcher,
    signal,
    method: 'POST',
    headers: headersOf(options, arrival),
    body: JSON.stringify({
      model,
      prompt: arrival.prompt,
      max_tokens: arrival.maxOutputTokens,
      stream: true,
    }),
  });
  response.body.setEncoding('utf8');
  if (response.statusCode !== 200) {
    return refusalOf(response.statusCode, await response.body.text());
  }
  let end: AnswerEnd = { kind: 'incomplete', reason: 'no end marker' };
  for await (const event of readEvents(response.body as AsyncIterable<string>)) {
    end = takeEvent(event, timing) ?? end;
  }
  return end;
}

/** Returns the answer's end where the event is its last one. */
function takeEvent({ name, data }: StreamEvent, timing: StreamTiming): AnswerEnd | undefined {
  if (data === doneMarker) {
    return { kind: 'complete' };
  }
  if (name === 'error') {
    return { kind: 'incomplete', reason: reasonOf(data) };
  }
  const chunk = JSON.parse(data) as { choices?: { text?: string }[] };
  const text = chunk.choices?.[0]?.text;
  if (text !== undefined && text !== '') {
    timing.token(text);
  }
  return undefined;
}

export async function callPlain(options: PlainCallOptions): Promise<PlainAnswer> {
  const { arrival, callerAddress, dispatcher } = options;
  const startedAtMs = monotonicNowMs();
  let text = '';
  let end: AnswerEnd;
  try {
    const response = await request(`${callerAddress}${arrival.path}`, {
      dispatcher,
      method: arrival.method,
      signal: AbortSignal.timeout(options.timeoutMs),
      headers: headersOf(options, { ...arrival, noRepeat: false }),
      body: arrival.body,
    });
    text = await response.body.text();
    end = response.statusCode < 300 ? { kind: 'complete' } : refusalOf(response.statusCode, text);
  } catch (error) {
    end = { kind: 'connection-failed', reason: codeOf(error) };
  }
  return { arrival, end, text, endMs: monotonicNowMs() - startedAtMs };
}

function headersOf(
  { institution, keyPrefix }: CallOptions,
  arrival: { id: string; className: string; noRepeat: boolean; keyed?: boolean },
): Record<string, string> {
  const isKeyed = arrival.noRepeat || arrival.keyed === true;
  return {
    'content-type': 'application/json',
    [callerHeaders.institution]: institution,
    [callerHeaders.className]: arrival.className,
    ...(isKeyed ? { [callerHeaders.idempotencyKey]: `${keyPrefix}-${arrival.id}` } : {}),
    ...(arrival.noRepeat ? { [callerHeaders.noRepeat]: 'true' } : {}),
  };
}

function refusalOf(status: number, body: string): AnswerEnd {
  const problem = parseObject(body);
  const notRun = problem.notRun as boolean | 'unknown' | undefined;
  const reason = typeof problem.reason === 'string' ? problem.reason : `status-${status}`;
  const detail = typeof problem.detail === 'string' ? problem.detail : undefined;
  return { kind: 'refused', status, reason, notRun: notRun ?? 'unknown', detail };
}

function reasonOf(data: string): string {
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

function endOfFailure(error: unknown, signal: AbortSignal, hasOutput: boolean): AnswerEnd {
  if (signal.aborted && signal.reason === 'cancelled') {
    return { kind: 'cancelled' };
  }
  const reason = signal.aborted ? 'timeout' : codeOf(error);
  return hasOutput ? { kind: 'incomplete', reason } : { kind: 'connection-failed', reason };
}

function codeOf(error: unknown): string {
  const { code, name } = Object(error) as { code?: string; name?: string };
  return code ?? name ?? 'unknown';
}
