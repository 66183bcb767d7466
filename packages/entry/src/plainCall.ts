/** Sends a plain call to one server and forwards its response to the caller. */
import { pipeline } from 'node:stream/promises';
import type { PlatformInstance } from '@bluebellhitch/objects';
import { innerHeaders } from '@bluebellhitch/protocol';
import { monotonicNowMs, type NotRun } from '@bluebellhitch/shared';
import type { PlainResponse } from './agentApi';
import { failureOfCall, failureOfRefusal } from './agentFailures';
import { endToEndHeaders } from './headers';
import type { HeldLease } from './heldLease';
import { createLinkedAbort } from './linkedAbort';
import type { PlainBody, PlainFailure, PlainOutcome, PlainRequest, PlainRun } from './plainTypes';
import type { RequestContext } from './requestContext';
import { noteCallError, noteLoad, noteOutcome, noteRefusal } from './serverHealth';

/** The runtime's pipeline alone adds seven; beyond ten it warns of a leak. */
const maxResponseListeners = 16;

/** The server on which an attempt runs, and its lease there if it has one. */
export interface PlainPlacement {
  instance: PlatformInstance;
  attemptId: string;
  lease?: HeldLease;
}

/** Runs the call; its connection is closed when the promise resolves. */
export async function callServer(
  context: RequestContext,
  run: PlainRun,
  placement: PlainPlacement,
): Promise<PlainOutcome> {
  const { request } = run;
  const { service } = request.document;
  const runtime = context.runtimes.of(service);
  const { id } = placement.instance;
  runtime.outliers.beginAttempt(id, monotonicNowMs());
  runtime.inFlight.set(id, (runtime.inFlight.get(id) ?? 0) + 1);
  const removePlacement = run.struck
    ? context.strikes.addPlacement(service, placement.attemptId, id)
    : undefined;
  const link = createLinkedAbort([{ signal: run.signal, reason: 'stopped' }]);
  try {
    return await exchangeWithServer(context, run, placement, link.signal);
  } finally {
    link.abort('ended');
    link.dispose();
    removePlacement?.();
    const remainingCount = (runtime.inFlight.get(id) ?? 1) - 1;
    if (remainingCount > 0) {
      runtime.inFlight.set(id, remainingCount);
    } else {
      runtime.inFlight.delete(id);
    }
  }
}

async function exchangeWithServer(
  context: RequestContext,
  run: PlainRun,
  placement: PlainPlacement,
  signal: AbortSignal,
): Promise<PlainOutcome> {
  const { request } = run;
  const { instance } = placement;
  run.mayHaveRun = true;
  const response = await context.agents.plain(instance.innerAddress, {
    method: request.method,
    target: request.target,
    headers: innerHeadersOf(context, request, placement),
    body: openBody(request.body),
    headTimeoutMs: headTimeoutMs(request),
    signal,
  });
  if (run.signal.aborted) {
    response.map(({ body }) => body.destroy());
    return { kind: 'stopped' };
  }
  if (response.isErr()) {
    noteCallError(context, request.document.service, instance.id, response.error);
    run.trace.step('call-failed', { instanceId: instance.id, error: response.error });
    return failureOfCall(response.error, { dispatched: true });
  }
  if (response.value.load !== undefined) {
    noteLoad(context, instance.id, response.value.load);
  }
  return response.value.refusal === undefined
    ? forwardResponse(context, run, placement, response.value)
    : refusedCall(context, run, placement, response.value);
}

/** A paused server accepts calls but never responds, so waiting until the deadline would be useless. */
function headTimeoutMs({ deadlineAtMs, document }: PlainRequest): number {
  const remainingMs = Math.max(1, deadlineAtMs - monotonicNowMs());
  return Math.min(remainingMs, document.limits.firstByteTimeoutMs);
}

function refusedCall(
  context: RequestContext,
  run: PlainRun,
  placement: PlainPlacement,
  response: PlainResponse,
): PlainFailure {
  const { instance } = placement;
  const refusal = response.refusal as NonNullable<PlainResponse['refusal']>;
  response.body.destroy();
  placement.lease?.markEnded();
  noteRefusal(context, run.request.document.service, instance.id, refusal);
  run.trace.step('call-refused', { instanceId: instance.id, reason: refusal.reason });
  if (refusal.reason === 'backend-failed') {
    const { service } = run.request.document;
    noteOutcome(context, service, instance.id, 'failure');
    reportPlainStrike(context, run, placement, refusal.notRun);
  }
  return failureOfRefusal(refusal, { dispatched: true });
}

/** Reports a strike: the server died, or broke the connection, with this request in flight. */
function reportPlainStrike(
  context: RequestContext,
  run: PlainRun,
  { instance, attemptId }: PlainPlacement,
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

/** Forwards the response with backpressure. If it breaks, the caller's connection is aborted, never ended cleanly. */
async function forwardResponse(
  context: RequestContext,
  run: PlainRun,
  placement: PlainPlacement,
  response: PlainResponse,
): Promise<PlainOutcome> {
  const { exchange, document } = run.request;
  const { outgoing, requestId } = exchange;
  const headers = responseHeaders(response.headers);
  outgoing.writeHead(response.status, { ...headers, 'x-request-id': requestId });
  run.trace.step('answer', { instanceId: placement.instance.id, status: response.status });
  outgoing.setMaxListeners(maxResponseListeners);
  try {
    // Destroys the outgoing response if the incoming one breaks.
    await pipeline(response.body, outgoing);
  } catch (error) {
    if (exchange.disconnectSignal.aborted && !response.body.errored) {
      return { kind: 'stopped' };
    }
    noteOutcome(context, document.service, placement.instance.id, 'failure');
    return { kind: 'cut', detail: error instanceof Error ? error.message : 'the answer broke' };
  }
  placement.lease?.markEnded();
  noteOutcome(context, document.service, placement.instance.id, 'success');
  return { kind: 'answered', status: response.status };
}

function responseHeaders(headers: PlainResponse['headers']): Record<string, string | string[]> {
  return endToEndHeaders(headers);
}

function innerHeadersOf(
  context: RequestContext,
  request: PlainRequest,
  { attemptId }: PlainPlacement,
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
