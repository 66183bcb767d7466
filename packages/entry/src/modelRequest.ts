/**
 * The life of one model request: limits, quarantine, attempts with retries or continuations, and one
 * final outcome. The only place that retries.
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
import { createClaimGuard, type ClaimedEnd, type ClaimGuard } from './claimStage';
import { runAttempt } from './modelAttempt';
import { stopReasons, type AttemptFailure, type AttemptOutcome, type ModelRun } from './modelTypes';
import { labelsOf } from './runReports';

const defaultRetryAfterMs = 1_000;

/** Runs the request to its end. The log is closed when the promise resolves. */
export async function runModelRequest(run: ModelRun): Promise<RequestOutcome> {
  const refusal = findAdmissionRefusal(run);
  if (refusal !== undefined) {
    return finishRefused(run, refusal);
  }
  const claim = createRequestClaim(run);
  const outcome = await runAttempts(run, claim);
  await claim?.settle(claimedEnd(run, outcome));
  return finish(run, outcome);
}

type FinalOutcome = Exclude<AttemptOutcome, AttemptFailure>;

async function runAttempts(run: ModelRun, claim: ClaimGuard | undefined): Promise<FinalOutcome> {
  for (let attempts = 1; ; attempts += 1) {
    const ranBefore = run.mayHaveRun;
    const outcome = await runAttempt(run, claim);
    if (outcome.kind !== 'failed') {
      return outcome;
    }
    if (outcome.notRun === true) {
      run.mayHaveRun = ranBefore;
    }
    if (run.signal.aborted) {
      // What the caller's leaving broke off is no failure of a server.
      return { kind: 'stopped' };
    }
    const decision = decideNext(run, outcome, attempts);
    run.trace.step('attempt-failed', { ...outcome, next: decision.kind });
    if (decision.kind === 'give-up') {
      return { kind: 'refused', refusal: refusalOfGiveUp(run, outcome, decision) };
    }
    run.context.metrics.countRetry(outcome.cause);
    await delay(decision.afterMs, run.signal);
    if (run.signal.aborted) {
      return { kind: 'stopped' };
    }
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
  // Two rounds of bids took a second in which nobody answered: the caller is better told at once.
  if (failure.reason === refusalReasons.noInstances || !hasUntriedServer(run)) {
    return giveUp(failure, failure.detail);
  }
  // A continuation saves work that is done already, and there is at most one for each running stream,
  // so that it cannot multiply the load: it draws on the budget, but is not refused by an empty one.
  const resumes = emitted.tokenCount > 0;
  return decideRetry({
    notRun: failure.notRun,
    dispatched: failure.dispatched,
    repeatable: request.repeatable,
    triedInstances: [...run.tried],
    attempts,
    maxAttempts: retry.maxAttempts,
    takeFromBudget: () => takeRetry(context, service) || resumes,
    emittedTokens: emitted.tokenCount,
    remainingMs: request.deadlineAtMs - nowMs,
    backoffBaseMs: retry.backoffMs,
    random: context.random,
  });
}

function hasUntriedServer(run: ModelRun): boolean {
  const { members } = run.context.runtimes.members(run.request.document);
  return members.some(({ id }) => !run.tried.has(id));
}

function giveUp(failure: AttemptFailure, detail: string): RetryDecision {
  return { kind: 'give-up', reason: failure.reason, notRun: failure.notRun, detail };
}

/** A refusal before any dispatch tells its own reason; later ones tell why there is no other attempt. */
function refusalOfGiveUp(
  run: ModelRun,
  failure: AttemptFailure,
  decision: Extract<RetryDecision, { kind: 'give-up' }>,
): Refusal {
  const incomplete = run.emitted.tokenCount > 0;
  const reason = failure.dispatched ? decision.reason : failure.reason;
  return createRefusal({
    reason: incomplete ? refusalReasons.incompleteAnswer : reason,
    notRun: notRunOf(run),
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

function createRequestClaim({ context, request }: ModelRun): ClaimGuard | undefined {
  if (request.repeatable) {
    return undefined;
  }
  invariant(request.claimKey !== undefined, 'a request that runs at most once has a claim key');
  const { claimKey, requestId } = request;
  const { claims, metrics } = context;
  return createClaimGuard({ claims, metrics, claimKey, requestId });
}

function claimedEnd(run: ModelRun, outcome: FinalOutcome): ClaimedEnd {
  if (outcome.kind === 'completed') {
    return 'ran';
  }
  return run.mayHaveRun ? 'unknown' : 'not-run';
}

function notRunOf(run: ModelRun): NotRun {
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
  return settle(run, requestOutcomes.completed, requestOutcomes.completed);
}

/** Goodput: the first token in time, and the others in time on average. */
function countGoodput(run: ModelRun, firstTokenAtMs: number, decodeMs: number): void {
  const { targets } = run.request.document;
  const firstTokenMs = firstTokenAtMs - run.request.arrivedAtMs;
  const betweenTokensMs = decodeMs / Math.max(1, run.emitted.tokenCount - 1);
  if (firstTokenMs <= targets.firstTokenMs && betweenTokensMs <= targets.betweenTokensMs) {
    run.context.metrics.countGoodput(labelsOf(run.request));
  }
}

function finishRefused(run: ModelRun, refusal: Refusal): RequestOutcome {
  run.context.metrics.countRefusal(refusal.reason);
  run.log.append({ kind: 'refused', refusal });
  const outcome = run.mayHaveRun ? requestOutcomes.failed : requestOutcomes.refused;
  return settle(run, outcome, `${outcome}: ${refusal.reason}`);
}

function finishStopped(run: ModelRun): RequestOutcome {
  const { reason } = run.signal;
  if (reason === stopReasons.deadline) {
    return finishRefused(
      run,
      createRefusal({
        reason: refusalReasons.deadlineExceeded,
        notRun: notRunOf(run),
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
        notRun: notRunOf(run),
        detail: 'this entry stops',
        retryAfterMs: defaultRetryAfterMs,
      }),
    );
  }
  const detail = 'the caller went away';
  const refusal = createRefusal({
    reason: refusalReasons.cancelled,
    notRun: notRunOf(run),
    detail,
  });
  run.log.append({ kind: 'refused', refusal });
  return settle(run, requestOutcomes.cancelled, requestOutcomes.cancelled);
}

function settle(run: ModelRun, outcome: RequestOutcome, told: string): RequestOutcome {
  run.context.metrics.countRequest(labelsOf(run.request), outcome);
  run.trace.finish(told);
  return outcome;
}
