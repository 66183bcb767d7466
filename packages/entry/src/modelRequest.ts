/**
 * Runs one model request from admission to its outcome: rate limits, quarantine, attempts with retries or
 * continuations, and exactly one final outcome. Retries of model requests are decided only here.
 */
import { decideRetry, type RetryDecision } from '@bluebellhitch/decisions';
import {
  assertNever,
  createRefusal,
  delay,
  invariant,
  monotonicNowMs,
  refusalReasons,
  type NotRun,
  type Refusal,
} from '@bluebellhitch/shared';
import { requestOutcomes, requestPhases, type RequestOutcome } from '@bluebellhitch/telemetry';
import { checkQuarantine, checkRate, takeRetry } from './admission';
import { createClaimGuard, type ClaimResolution, type ClaimGuard } from './claimStage';
import { runAttempt } from './modelAttempt';
import { stopReasons, type AttemptFailure, type AttemptOutcome, type ModelRun } from './modelTypes';
import { labelsOf } from './runReports';
import { hasUntriedServer } from './untriedServers';

const defaultRetryAfterMs = 1_000;

/** Runs the request to completion. The response log is closed when the promise resolves. */
export async function runModelRequest(run: ModelRun): Promise<RequestOutcome> {
  const refusal = findAdmissionRefusal(run);
  if (refusal !== undefined) {
    return finishRefused(run, refusal);
  }
  const claim = createRequestClaim(run);
  const outcome = await runAttempts(run, claim);
  await claim?.settle(claimResolution(run, outcome));
  return finish(run, outcome);
}

type FinalOutcome = Exclude<AttemptOutcome, AttemptFailure>;

async function runAttempts(run: ModelRun, claim: ClaimGuard | undefined): Promise<FinalOutcome> {
  for (let attempts = 1; ; attempts += 1) {
    if (run.signal.aborted) {
      return { kind: 'stopped' };
    }
    const mayHaveRunBefore = run.mayHaveRun;
    const outcome = await runAttempt(run, claim);
    if (outcome.kind !== 'failed') {
      return outcome;
    }
    if (outcome.notRun === true) {
      run.mayHaveRun = mayHaveRunBefore;
    }
    if (run.signal.aborted) {
      // An attempt that was aborted because the caller disconnected does not count as a server failure.
      return { kind: 'stopped' };
    }
    const decision = decideNext(run, outcome, attempts);
    run.trace.step('attempt-failed', { ...outcome, next: decision.kind });
    if (decision.kind === 'give-up') {
      return { kind: 'refused', refusal: refusalOfGiveUp(run, outcome, decision) };
    }
    run.context.metrics.countRetry(outcome.cause);
    await delay(decision.afterMs, run.signal);
  }
}

function decideNext(run: ModelRun, failure: AttemptFailure, attempts: number): RetryDecision {
  const { context, request, emitted } = run;
  const { service, retry } = request.document;
  const nowMs = monotonicNowMs();
  const { struck, refusal } = checkQuarantine(context, request);
  run.struck = struck;
  if (refusal !== undefined) {
    return giveUp(failure, refusal.detail);
  }
  // Two rounds of bids took a second without any reply: it is better to refuse the request at once.
  if (failure.reason === refusalReasons.noInstances || !hasUntriedServer(run)) {
    return giveUp(failure, failure.detail);
  }
  // A continuation preserves work that is done already, and each running stream has at most one, so it
  // cannot multiply the load: it draws on the retry budget but is allowed when the budget is empty.
  const isContinuation = emitted.tokenCount > 0;
  return decideRetry({
    notRun: failure.notRun,
    dispatched: failure.dispatched,
    repeatable: request.repeatable,
    triedInstances: [...run.tried],
    attempts,
    maxAttempts: retry.maxAttempts,
    takeFromBudget: () => takeRetry(context, service) || isContinuation,
    emittedTokens: emitted.tokenCount,
    remainingMs: request.deadlineAtMs - nowMs,
    backoffBaseMs: retry.backoffMs,
    random: context.random,
  });
}

function giveUp(failure: AttemptFailure, detail: string): RetryDecision {
  return { kind: 'give-up', reason: failure.reason, notRun: failure.notRun, detail };
}

/** Before any dispatch the reason is that of the failure; afterwards it is why no further attempt is made. */
function refusalOfGiveUp(
  run: ModelRun,
  failure: AttemptFailure,
  decision: Extract<RetryDecision, { kind: 'give-up' }>,
): Refusal {
  const incomplete = run.emitted.tokenCount > 0;
  const reason = failure.dispatched ? decision.reason : failure.reason;
  return createRefusal({
    reason: incomplete ? refusalReasons.incompleteAnswer : reason,
    notRun: resolveNotRun(run),
    detail: failure.dispatched ? `${failure.detail}; ${decision.detail}` : failure.detail,
    retryAfterMs: failure.retryAfterMs ?? defaultRetryAfterMs,
  });
}

function findAdmissionRefusal(run: ModelRun): Refusal | undefined {
  const { context, request } = run;
  const { struck, refusal } = checkQuarantine(context, request);
  run.struck = struck;
  return refusal ?? checkRate(context, request) ?? overloadRefusal(run);
}

function overloadRefusal({ context, request }: ModelRun): Refusal | undefined {
  const priorities = request.document.classes.map(({ priority }) => priority);
  const decision = context.runtimes.of(request.document.service).overload.decide(
    {
      speculative: false,
      priority: request.trafficClass.priority,
      lowestPriority: Math.max(...priorities),
      highestPriority: Math.min(...priorities),
    },
    monotonicNowMs(),
  );
  return decision.kind === 'admit'
    ? undefined
    : createRefusal({
        reason: refusalReasons.noCapacity,
        detail: `the service is overloaded and sheds this class (${decision.cause})`,
        retryAfterMs: decision.retryAfterMs,
      });
}

function createRequestClaim({ context, request, signal }: ModelRun): ClaimGuard | undefined {
  if (request.repeatable) {
    return undefined;
  }
  invariant(request.claimKey !== undefined, 'a request that runs at most once has a claim key');
  const { claimKey, requestId } = request;
  const { claims, metrics } = context;
  return createClaimGuard({ claims, metrics, claimKey, requestId, signal });
}

function claimResolution(run: ModelRun, outcome: FinalOutcome): ClaimResolution {
  if (outcome.kind === 'completed') {
    return 'ran';
  }
  return run.mayHaveRun ? 'unknown' : 'not-run';
}

function resolveNotRun(run: ModelRun): NotRun {
  if (run.emitted.tokenCount > 0) {
    return false;
  }
  return run.mayHaveRun ? 'unknown' : true;
}

function finish(run: ModelRun, outcome: FinalOutcome): RequestOutcome {
  switch (outcome.kind) {
    case 'completed':
      return finishCompleted(run);
    case 'refused':
      return finishRefused(run, outcome.refusal);
    case 'stopped':
      return finishStopped(run);
    default:
      return assertNever(outcome);
  }
}

function finishCompleted(run: ModelRun): RequestOutcome {
  const { context, request } = run;
  const { service, retry } = request.document;
  context.runtimes.retryBudget.recordSuccess(service, monotonicNowMs(), retry.budgetRatio);
  context.strikes.clear(service, request.fingerprint);
  const { firstTokenAtMs, lastTokenAtMs } = run;
  if (firstTokenAtMs !== undefined && lastTokenAtMs !== undefined) {
    const decodeMs = lastTokenAtMs - firstTokenAtMs;
    context.metrics.observePhase(requestPhases.decode, labelsOf(request), decodeMs);
    countGoodput(run, firstTokenAtMs, decodeMs);
  }
  return recordOutcome(run, requestOutcomes.completed, requestOutcomes.completed);
}

/** A request counts as goodput if its first token, and on average the other tokens, met their targets. */
function countGoodput(run: ModelRun, firstTokenAtMs: number, decodeMs: number): void {
  const { targets } = run.request.document;
  const firstTokenMs = firstTokenAtMs - run.request.arrivedAtMs;
  const betweenTokensMs = decodeMs / Math.max(1, run.emitted.tokenCount - 1);
  if (firstTokenMs <= targets.firstTokenMs && betweenTokensMs <= targets.betweenTokensMs) {
    run.context.metrics.countGoodput(labelsOf(run.request));
  }
}

/** The refusal of an attempt says nothing of those before it, one of which may have run. */
function refusalOfRun(run: ModelRun, refusal: Refusal): Refusal {
  return refusal.notRun === true ? { ...refusal, notRun: resolveNotRun(run) } : refusal;
}

function finishRefused(run: ModelRun, refusal: Refusal): RequestOutcome {
  run.context.metrics.countRefusal(refusal.reason);
  run.log.append({ kind: 'refused', refusal: refusalOfRun(run, refusal) });
  const outcome = run.mayHaveRun ? requestOutcomes.failed : requestOutcomes.refused;
  return recordOutcome(run, outcome, `${outcome}: ${refusal.reason}`);
}

function finishStopped(run: ModelRun): RequestOutcome {
  const { reason } = run.signal;
  if (reason === stopReasons.deadline) {
    return finishRefused(
      run,
      createRefusal({
        reason: refusalReasons.deadlineExceeded,
        notRun: resolveNotRun(run),
        detail: 'the answer did not end within the time that the service allows',
        retryAfterMs: defaultRetryAfterMs,
      }),
    );
  }
  if (reason === stopReasons.shutdown) {
    return finishRefused(
      run,
      createRefusal({
        reason: refusalReasons.leaving,
        notRun: resolveNotRun(run),
        detail: 'this entry stops',
        retryAfterMs: defaultRetryAfterMs,
      }),
    );
  }
  const detail = 'the caller went away';
  const refusal = createRefusal({
    reason: refusalReasons.cancelled,
    notRun: resolveNotRun(run),
    detail,
  });
  run.log.append({ kind: 'refused', refusal });
  return recordOutcome(run, requestOutcomes.cancelled, requestOutcomes.cancelled);
}

function recordOutcome(
  run: ModelRun,
  outcome: RequestOutcome,
  recordedOutcome: string,
): RequestOutcome {
  run.context.metrics.countRequest(labelsOf(run.request), outcome);
  run.trace.finish(recordedOutcome);
  return outcome;
}
