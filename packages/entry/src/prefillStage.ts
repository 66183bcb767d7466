/** Runs the prefill on a prefill worker, from which the decode worker then pulls the KV cache. */
import type { PlatformInstance } from '@bluebellhitch/objects';
import type {
  KvSource,
  PrefillReply,
  PrefillRequest,
  ReserveRequest,
} from '@bluebellhitch/protocol';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { requestPhases, type WastedPrefillCause } from '@bluebellhitch/telemetry';
import { failureOfCall, failureOfRefusal } from './agentFailures';
import { callUnderLease, holdLease, type HeldLease } from './heldLease';
import type { AttemptFailure, ModelRun } from './modelTypes';
import type { Placement } from './placement';
import { noteCallError, noteLoad, noteOutcome, noteRefusal } from './serverHealth';
import { labelsOf, reportStrike } from './runReports';

type Prefilled = Extract<PrefillReply, { kind: 'prefilled' }>;

/** A finished prefill, and the lease under which the worker keeps its KV cache. */
export interface FinishedPrefill {
  lease: HeldLease;
  reply: Prefilled;
}

/** The part of a placement that the prefill needs. */
export type PrefillPlacement = Pick<Placement, 'prefillInstance' | 'expected' | 'usableAtMs'>;

export type PrefillLease =
  | { kind: 'granted'; lease: HeldLease }
  /** The worker does not accept the prefill now: the decode worker runs it itself. */
  | { kind: 'declined' };

export type PrefillOutcome = { kind: 'prefilled'; prefill: FinishedPrefill } | AttemptFailure;

/** A prefill may end this long before the decode slot is usable: its result is kept at least that long. */
const startMarginMs = 20;
/** Multiple of the predicted duration that is allowed: other prompts share the worker and slow it down. */
const stallFactor = 4;

/** Reserves the prefill worker that the placement chose. */
export async function reservePrefill(
  run: ModelRun,
  placement: PrefillPlacement,
  attemptId: string,
): Promise<PrefillLease> {
  const { context, request } = run;
  const instance = placement.prefillInstance as PlatformInstance;
  const message = prefillReservation(run, placement, attemptId);
  const lease = holdLease(context, instance, attemptId);
  const timeoutMs = message.waitLimitMs + context.timeouts.reserveMarginMs;
  const reply = await callUnderLease(lease, run.signal, (signal) =>
    context.agents.reserve(instance.innerAddress, message, { timeoutMs, signal }),
  );
  if (reply.isOk() && reply.value.kind === 'granted') {
    noteLoad(context, instance.id, reply.value.load);
    run.trace.step('prefill-reserved', { instanceId: instance.id });
    return { kind: 'granted', lease };
  }
  reply.match(
    (refusal) => {
      lease.markEnded();
      if (refusal.kind === 'refused') {
        noteRefusal(context, request.document.service, instance.id, refusal);
      }
    },
    (error) => noteCallError(context, request.document.service, instance.id, error),
  );
  lease.release();
  run.trace.step('prefill-declined', { instanceId: instance.id });
  return { kind: 'declined' };
}

/**
 * Runs the prefill, late enough that its result does not expire before the decode slot is usable. A finished prefill is no
 * run of the request: only a stream begins an answer.
 */
export async function runPrefill(
  run: ModelRun,
  placement: PrefillPlacement,
  lease: HeldLease,
): Promise<PrefillOutcome> {
  const { context, request } = run;
  const { prefillMs } = placement.expected.prediction;
  await delay(
    Math.max(0, placement.usableAtMs - monotonicNowMs() - prefillMs - startMarginMs),
    run.signal,
  );
  const { instance, attemptId } = lease;
  const mayHaveRunBefore = run.mayHaveRun;
  // Until the reply is there: the engine may be at work on the request.
  run.mayHaveRun = true;
  const message: PrefillRequest = {
    attemptId,
    model: request.engineModel,
    prompt: `${request.prompt}${run.emitted.text}`,
    priority: request.trafficClass.priority,
  };
  const timeoutMs = prefillTimeoutMs(run, prefillMs);
  const reply = await callUnderLease(lease, run.signal, (signal) =>
    context.agents.prefill(instance.innerAddress, message, { timeoutMs, signal }),
  );
  if (reply.isErr()) {
    noteCallError(context, request.document.service, instance.id, reply.error);
    return failureOfCall(reply.error, { dispatched: true });
  }
  if (reply.value.kind === 'prefilled' || reply.value.notRun === true) {
    run.mayHaveRun = mayHaveRunBefore;
  }
  return reply.value.kind === 'refused'
    ? refusedPrefill(run, lease, reply.value)
    : finishedPrefill(run, lease, reply.value);
}

/**
 * A prefill shows no progress until it ends. Without a timeout of its own, one whose reply is lost would
 * keep its caller waiting until the deadline.
 */
function prefillTimeoutMs({ context, request }: ModelRun, predictedMs: number): number {
  const remainingMs = request.deadlineAtMs - monotonicNowMs();
  const progressTimeoutMs = context.timeouts.firstFrameStallMs + stallFactor * predictedMs;
  return Math.max(1, Math.min(remainingMs, progressTimeoutMs));
}

function refusedPrefill(
  run: ModelRun,
  lease: HeldLease,
  refusal: Extract<PrefillReply, { kind: 'refused' }>,
): AttemptFailure {
  const { context, request } = run;
  noteRefusal(context, request.document.service, lease.instance.id, refusal);
  if (refusal.reason === 'backend-failed' && refusal.notRun !== true) {
    noteOutcome(context, request.document.service, lease.instance.id, 'failure');
    reportStrike(run, lease.attemptId, lease.instance.id);
  }
  run.trace.step('prefill-refused', { instanceId: lease.instance.id, reason: refusal.reason });
  return failureOfRefusal(refusal, { dispatched: true });
}

function finishedPrefill(run: ModelRun, lease: HeldLease, reply: Prefilled): PrefillOutcome {
  const { context, request } = run;
  const { service } = request.document;
  const uncachedTokens = Math.max(0, reply.promptTokens - reply.cachedTokens);
  noteLoad(context, lease.instance.id, reply.load);
  noteOutcome(context, service, lease.instance.id, 'success');
  context.metrics.observePhase(requestPhases.prefill, labelsOf(request), reply.prefillMs);
  context.runtimes.phaseModels.observePrefill(service, {
    location: 'prefill-worker',
    uncachedTokens,
    prefillMs: reply.prefillMs,
    kvBytes: reply.kvBytes,
    promptTokens: reply.promptTokens,
  });
  run.trace.step('prefilled', {
    instanceId: lease.instance.id,
    prefillMs: reply.prefillMs,
    uncachedTokens,
  });
  return { kind: 'prefilled', prefill: { lease, reply } };
}

/** Counts the tokens of a finished prefill whose result was not used for any output token. */
export function reportWastedPrefill(
  run: ModelRun,
  prefill: FinishedPrefill,
  cause: WastedPrefillCause,
): void {
  const { promptTokens, cachedTokens } = prefill.reply;
  run.context.metrics.countWastedPrefillTokens(cause, Math.max(0, promptTokens - cachedTokens));
  run.trace.step('prefill-wasted', { cause });
}

/** Returns where the decode worker obtains the KV cache. */
export function kvSourceOf(prefill: FinishedPrefill | undefined): KvSource {
  if (prefill === undefined) {
    return { kind: 'local' };
  }
  const { exportId, kvAddress, kvBytes, keptForMs } = prefill.reply;
  return { kind: 'transfer', exportId, kvAddress, kvBytes, keptForMs };
}

function prefillReservation(
  run: ModelRun,
  placement: PrefillPlacement,
  attemptId: string,
): ReserveRequest {
  const { context, request, emitted } = run;
  const { expected } = placement;
  const nowMs = monotonicNowMs();
  const slotInMs = Math.max(0, placement.usableAtMs - nowMs);
  return {
    entryId: context.entryId,
    entryIncarnation: context.entryIncarnation,
    requestId: request.requestId,
    attemptId,
    origin: request.origin,
    service: request.document.service,
    purpose: 'prefill',
    promptTokens: request.promptTokens + emitted.tokenCount,
    maxOutputTokens: 0,
    neededInMs: Math.max(0, slotInMs - expected.prediction.prefillMs - startMarginMs),
    waitLimitMs: Math.max(0, expected.waitLimitMs),
    firstTokenDeadlineInMs: 0,
    repeatable: request.repeatable,
  };
}
