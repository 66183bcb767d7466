/** Sends a plain call to one server and passes its answer on to the caller. */
import { pipeline } from 'node:stream/promises';
import type { PlatformInstance } from '@bluebellhitch/objects';
import { innerHeaders } from '@bluebellhitch/protocol';
import { monotonicNowMs, type NotRun } from '@bluebellhitch/shared';
import type { PlainAnswer } from './agentApi';
import { failureOfCall, failureOfRefusal } from './agentFailures';
import { endToEndHeaders } from './headers';
import type { HeldLease } from './heldLease';
import { createLinkedAbort } from './linkedAbort';
import type { PlainBody, PlainFailure, PlainOutcome, PlainRequest, PlainRun } from './plainTypes';
import type { RequestContext } from './requestContext';
import { noteCallError, noteLoad, noteOutcome, noteRefusal } from './serverHealth';

/** Where an attempt runs, and its lease there where it has one. */
export interface PlainPlace {
  instance: PlatformInstance;
  attemptId: string;
  lease?: HeldLease;
}

/** Runs the call; its connection is closed when the promise resolves. */
export async function callServer(
  context: RequestContext,
  run: PlainRun,
  place: PlainPlace,
): Promise<PlainOutcome> {
  const { request } = run;
  const { service } = request.document;
  const runtime = context.runtimes.of(service);
  const { id } = place.instance;
  runtime.outliers.beginAttempt(id, monotonicNowMs());
  runtime.inFlight.set(id, (runtime.inFlight.get(id) ?? 0) + 1);
  const unplace = run.struck ? context.strikes.place(service, place.attemptId, id) : undefined;
  const link = createLinkedAbort([{ signal: run.signal, reason: 'stopped' }]);
  try {
    return await exchangeWithServer(context, run, place, link.signal);
  } finally {
    link.abort('ended');
    link.dispose();
    unplace?.();
    const left = (runtime.inFlight.get(id) ?? 1) - 1;
    if (left > 0) {
      runtime.inFlight.set(id, left);
    } else {
      runtime.inFlight.delete(id);
    }
  }
}

async function exchangeWithServer(
  context: RequestContext,
  run: PlainRun,
  place: PlainPlace,
  signal: AbortSignal,
): Promise<PlainOutcome> {
  const { request } = run;
  const { instance } = place;
  run.mayHaveRun = true;
  const answer = await context.agents.plain(instance.innerAddress, {
    method: request.method,
    target: request.target,
    headers: innerHeadersOf(context, request, place),
    body: openBody(request.body),
    headTimeoutMs: headTimeoutMs(request),
    signal,
  });
  if (run.signal.aborted) {
    answer.map(({ body }) => body.destroy());
    return { kind: 'stopped' };
  }
  if (answer.isErr()) {
    noteCallError(context, request.document.service, instance.id, answer.error);
    run.trace.step('call-failed', { instanceId: instance.id, error: answer.error });
    return failureOfCall(answer.error, { dispatched: true });
  }
  if (answer.value.load !== undefined) {
    noteLoad(context, instance.id, answer.value.load);
  }
  return answer.value.refusal === undefined
    ? passOn(context, run, place, answer.value)
    : refusedCall(context, run, place, answer.value);
}

/** A paused server takes calls and answers none: waiting for the deadline would help nobody. */
function headTimeoutMs({ deadlineAtMs, document }: PlainRequest): number {
  const remainingMs = Math.max(1, deadlineAtMs - monotonicNowMs());
  return Math.min(remainingMs, document.limits.firstByteTimeoutMs);
}

function refusedCall(
  context: RequestContext,
  run: PlainRun,
  place: PlainPlace,
  answer: PlainAnswer,
): PlainFailure {
  const { instance } = place;
  const refusal = answer.refusal as NonNullable<PlainAnswer['refusal']>;
  answer.body.destroy();
  place.lease?.settle();
  noteRefusal(context, run.request.document.service, instance.id, refusal);
  run.trace.step('call-refused', { instanceId: instance.id, reason: refusal.reason });
  if (refusal.reason === 'backend-failed') {
    const { service } = run.request.document;
    noteOutcome(context, service, instance.id, 'failure');
    reportPlainStrike(context, run, place, refusal.notRun);
  }
  return failureOfRefusal(refusal, { dispatched: true });
}

/** The server died, or broke off, with this request in flight. */
function reportPlainStrike(
  context: RequestContext,
  run: PlainRun,
  { instance, attemptId }: PlainPlace,
  notRun: NotRun,
): void {
  const { fingerprint, document } = run.request;
  if (notRun === true || fingerprint === undefined) {
    return;
  }
  context.strikes.report({
    service: document.service,
    fingerprint,
    attemptId,
    instanceId: instance.id,
  });
}

/** Passes the answer on with backpressure. A broken one cuts the caller's connection: never an end. */
async function passOn(
  context: RequestContext,
  run: PlainRun,
  place: PlainPlace,
  answer: PlainAnswer,
): Promise<PlainOutcome> {
  const { exchange, document } = run.request;
  const { outgoing, requestId } = exchange;
  const headers = answerHeaders(answer.headers);
  outgoing.writeHead(answer.status, { ...headers, 'x-request-id': requestId });
  run.trace.step('answer', { instanceId: place.instance.id, status: answer.status });
  try {
    // Destroys the response where the answer breaks off.
    await pipeline(answer.body, outgoing);
  } catch (error) {
    if (exchange.gone.aborted && !answer.body.errored) {
      return { kind: 'stopped' };
    }
    noteOutcome(context, document.service, place.instance.id, 'failure');
    return { kind: 'cut', detail: error instanceof Error ? error.message : 'the answer broke' };
  }
  place.lease?.settle();
  noteOutcome(context, document.service, place.instance.id, 'success');
  return { kind: 'answered', status: answer.status };
}

function answerHeaders(headers: PlainAnswer['headers']): Record<string, string | string[]> {
  return endToEndHeaders(headers);
}

function innerHeadersOf(
  context: RequestContext,
  request: PlainRequest,
  { attemptId }: PlainPlace,
): Record<string, string | string[]> {
  const { origin, document, exchange } = request;
  return {
    ...endToEndHeaders(exchange.incoming.headers),
    'x-request-id': exchange.requestId,
    [innerHeaders.entryId]: context.entryId,
    [innerHeaders.entryIncarnation]: context.entryIncarnation,
    [innerHeaders.attemptId]: attemptId,
    [innerHeaders.requestId]: exchange.requestId,
    [innerHeaders.institution]: origin.institution,
    [innerHeaders.className]: origin.className,
    [innerHeaders.service]: document.service,
    [innerHeaders.deadlineInMs]: String(
      Math.max(1, Math.round(request.deadlineAtMs - monotonicNowMs())),
    ),
  };
}

function openBody(body: PlainBody) {
  switch (body.kind) {
    case 'whole':
      return body.bytes;
    case 'streamed':
      return body.replay.open();
    default:
      return undefined;
  }
}
