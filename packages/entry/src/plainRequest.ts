/** Runs one plain request from admission to its outcome: limits, attempts with retries, one final outcome. */
import { decideRetry, type RetryDecision } from '@bluebellhitch/decisions';
import {
  assertNever,
  createRefusal,
  delay,
  monotonicNowMs,
  refusalReasons,
  type Refusal,
} from '@bluebellhitch/shared';
import { requestOutcomes, type RequestLabels, type RequestOutcome } from '@bluebellhitch/telemetry';
import { checkQuarantine, checkRate, takeRetry } from './admission';
import { createClaimGuard, type ClaimGuard, type ClaimResolution } from './claimStage';
import { stopReasons } from './modelTypes';
import { runPlainAttempt } from './plainAttempt';
import type { PlainFailure, PlainOutcome, PlainRequest, PlainRun } from './plainTypes';
import type { RequestContext } from './requestContext';
import { createRequestTrace } from './requestTrace';

type FinalOutcome = Exclude<PlainOutcome, PlainFailure>;

const defaultRetryAfterMs = 1_000;
const slowSenderStatus = 408;

/** Creates the run of the request and opens its decision record. */
export function createPlainRun(
  context: RequestContext,
  request: PlainRequest,
  signal: AbortSignal,
): PlainRun {
  const trace = createRequestTrace({
    ring: context.ring,
    requestId: request.exchange.requestId,
    labels: labelsOf(request),
    fingerprint: request.fingerprint,
    arrivedAtMs: request.arrivedAtMs,
  });
  return { request, trace, signal, tried: new Set(), mayHaveRun: false, struck: false };
}

function labelsOf({ document, origin, trafficClass }: PlainRequest): RequestLabels {
  return {
    service: document.service,
    institution: origin.institution,
    className: trafficClass.name,
  };
}

/** Runs the request to completion: the caller has received a response, or its connection has been aborted. */
export async function runPlainRequest(context: RequestContext, run: PlainRun): Promise<void> {
  const refusal = findAdmissionRefusal(context, run);
  if (refusal !== undefined) {
    finish(context, run, { kind: 'refused', refusal });
    return;
  }
  const claim = createRequestClaim(context, run);
  const outcome = await runAttempts(context, run, claim);
  await claim?.settle(claimResolution(run, outcome));
  finish(context, run, outcome);
}

function findAdmissionRefusal(context: RequestContext, run: PlainRun): Refusal | undefined {
  const { struck, refusal } = checkQuarantine(context, run.request);
  run.struck = struck;
  return refusal ?? checkRate(context, run.request);
}

async function runAttempts(
  context: RequestContext,
  run: PlainRun,
  claim: ClaimGuard | undefined,
): Promise<FinalOutcome> {
  for (let attempts = 1; ; attempts += 1) {
    if (run.signal.aborted) {
      return { kind: 'stopped' };
    }
    const mayHaveRunBefore = run.mayHaveRun;
    const outcome = await runPlainAttempt(context, run, claim);
    if (outcome.kind !== 'failed') {
      return outcome;
    }
    if (outcome.notRun === true) {
      run.mayHaveRun = mayHaveRunBefore;
    }
    const decision = findBodyFault(run) ?? decideNext(context, run, outcome, attempts);
    run.trace.step('attempt-failed', { ...outcome, next: decision.kind });
    if (decision.kind === 'refused') {
      return decision;
    }
    if (decision.kind === 'give-up') {
      return { kind: 'refused', refusal: refusalOfGiveUp(run, outcome, decision) };
    }
    context.metrics.countRetry(outcome.cause);
    await delay(decision.afterMs, run.signal);
  }
}

/** The refusal if the attempt failed because of the caller's request body. */
function findBodyFault(run: PlainRun): Extract<FinalOutcome, { kind: 'refused' }> | undefined {
  const { body } = run.request;
  const fault = body.kind === 'streamed' ? body.replay.fault() : undefined;
  if (fault === undefined) {
    return undefined;
  }
  const notRun = run.mayHaveRun ? 'unknown' : true;
  if (fault.kind === 'no-memory') {
    const detail = 'no memory for the body';
    const refusal = createRefusal({ reason: refusalReasons.noCapacity, notRun, detail });
    return { kind: 'refused', refusal };
  }
  return fault.kind === 'too-large'
    ? {
        kind: 'refused',
        refusal: createRefusal({
          reason: refusalReasons.bodyTooLarge,
          notRun,
          detail: `the body is larger than ${fault.maxBytes} bytes`,
        }),
      }
    : {
        kind: 'refused',
        status: slowSenderStatus,
        refusal: createRefusal({
          reason: refusalReasons.badRequest,
          notRun,
          detail: `the body paused for more than ${fault.timeoutMs} ms`,
        }),
      };
}

function decideNext(
  context: RequestContext,
  run: PlainRun,
  failure: PlainFailure,
  attempts: number,
): RetryDecision {
  const { document, body, repeatable, deadlineAtMs } = run.request;
  const nowMs = monotonicNowMs();
  const isReplayable = body.kind !== 'streamed' || body.replay.canReplay();
  const hasUntriedServer = context.runtimes
    .members(document)
    .members.some(({ id }) => !run.tried.has(id));
  const { struck, refusal } = checkQuarantine(context, run.request);
  run.struck = struck;
  if (!isReplayable || !hasUntriedServer || refusal !== undefined) {
    const { reason, notRun, detail } = failure;
    return { kind: 'give-up', reason, notRun, detail };
  }
  return decideRetry({
    notRun: failure.notRun,
    dispatched: failure.dispatched,
    repeatable,
    triedInstances: [...run.tried],
    attempts,
    maxAttempts: document.retry.maxAttempts,
    takeFromBudget: () => takeRetry(context, document.service),
    remainingMs: deadlineAtMs - nowMs,
    backoffBaseMs: document.retry.backoffMs,
    random: context.random,
  });
}

function refusalOfGiveUp(
  run: PlainRun,
  failure: PlainFailure,
  decision: Extract<RetryDecision, { kind: 'give-up' }>,
): Refusal {
  return createRefusal({
    reason: failure.dispatched ? decision.reason : failure.reason,
    notRun: run.mayHaveRun ? 'unknown' : true,
    detail: failure.detail,
    retryAfterMs: failure.retryAfterMs ?? defaultRetryAfterMs,
  });
}

function createRequestClaim(
  { claims, metrics }: RequestContext,
  { signal, request: { repeatable, claimKey, exchange } }: PlainRun,
): ClaimGuard | undefined {
  return repeatable || claimKey === undefined
    ? undefined
    : createClaimGuard({ claims, metrics, claimKey, requestId: exchange.requestId, signal });
}

function claimResolution(run: PlainRun, outcome: FinalOutcome): ClaimResolution {
  if (outcome.kind === 'answered') {
    return 'ran';
  }
  return run.mayHaveRun ? 'unknown' : 'not-run';
}

function finish(context: RequestContext, run: PlainRun, outcome: FinalOutcome): void {
  const ended = endExchange(context, run, outcome);
  context.metrics.countRequest(labelsOf(run.request), ended.outcome);
  run.trace.finish(ended.recordedOutcome);
}

interface EndedRequest {
  outcome: RequestOutcome;
  recordedOutcome: string;
}

function endExchange(context: RequestContext, run: PlainRun, outcome: FinalOutcome): EndedRequest {
  const { exchange, document, fingerprint } = run.request;
  switch (outcome.kind) {
    case 'answered':
      context.runtimes.retryBudget.recordSuccess(
        document.service,
        monotonicNowMs(),
        document.retry.budgetRatio,
      );
      if (fingerprint !== undefined) {
        context.strikes.clear(document.service, fingerprint);
      }
      return { outcome: requestOutcomes.completed, recordedOutcome: `answered: ${outcome.status}` };
    case 'cut':
      return { outcome: requestOutcomes.failed, recordedOutcome: `cut: ${outcome.detail}` };
    case 'refused':
      return refuse(context, run, outcome.refusal, outcome.status);
    case 'stopped':
      if (run.signal.reason === stopReasons.callerGone) {
        exchange.outgoing.destroy();
        return { outcome: requestOutcomes.cancelled, recordedOutcome: requestOutcomes.cancelled };
      }
      return refuse(context, run, stoppedRefusal(run));
    default:
      return assertNever(outcome);
  }
}

function refuse(
  context: RequestContext,
  run: PlainRun,
  refusal: Refusal,
  status?: number,
): EndedRequest {
  const { exchange } = run.request;
  context.metrics.countRefusal(refusal.reason);
  if (exchange.outgoing.headersSent) {
    exchange.outgoing.destroy();
  } else {
    exchange.refuse(refusal, status);
  }
  const outcome = run.mayHaveRun ? requestOutcomes.failed : requestOutcomes.refused;
  return { outcome, recordedOutcome: `${outcome}: ${refusal.reason}` };
}

function stoppedRefusal(run: PlainRun): Refusal {
  const notRun = run.mayHaveRun ? 'unknown' : true;
  return run.signal.reason === stopReasons.deadline
    ? createRefusal({
        reason: refusalReasons.deadlineExceeded,
        notRun,
        detail: 'the answer did not come within the time that the service allows',
        retryAfterMs: defaultRetryAfterMs,
      })
    : createRefusal({
        reason: refusalReasons.leaving,
        notRun,
        detail: 'this entry stops',
        retryAfterMs: defaultRetryAfterMs,
      });
}
