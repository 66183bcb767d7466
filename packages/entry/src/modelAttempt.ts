/** Runs one attempt of a model request: placement, claim, prefill, stream, and release of its leases. */
import { placementPolicies, resolvePolicyPlan } from '@bluebellhitch/decisions';
import { monotonicNowMs, refusalReasons } from '@bluebellhitch/shared';
import {
  retryCauses,
  wastedPrefillCauses,
  type WastedPrefillCause,
} from '@bluebellhitch/telemetry';
import { placeByBaseline, type BaselineOutcome } from './baselinePlacement';
import type { ClaimGuard } from './claimStage';
import type { HeldLease } from './heldLease';
import { stopReasons, type AttemptFailure, type AttemptOutcome, type ModelRun } from './modelTypes';
import { placeAttempt, type Placement } from './placement';
import {
  reportWastedPrefill,
  reservePrefill,
  runPrefill,
  type FinishedPrefill,
} from './prefillStage';
import { streamAttempt } from './streamStage';

/** Runs an attempt; all its leases and placements are released when the promise resolves. */
export async function runAttempt(
  run: ModelRun,
  claim: ClaimGuard | undefined,
): Promise<AttemptOutcome> {
  const { context, request } = run;
  const attemptId = context.newAttemptId();
  const placed = await placeByPolicy(run, attemptId, claim);
  if (placed.kind !== 'placed') {
    return placed;
  }
  const { placement } = placed;
  const { id } = placement.decode.instance;
  const { service } = request.document;
  context.runtimes.of(service).outliers.beginAttempt(id, monotonicNowMs());
  try {
    const outcome = await runPlaced(run, placed, claim);
    if (outcome.kind === 'failed') {
      // The next attempt goes to another server: one whose streams fail still makes good bids and would
      // otherwise be given every attempt of the request.
      run.tried.add(id);
    }
    return outcome;
  } finally {
    placement.decode.release();
  }
}

function placeByPolicy(
  run: ModelRun,
  attemptId: string,
  claim: ClaimGuard | undefined,
): Promise<BaselineOutcome> {
  const { policy } = run.context.runtimes;
  return policy === placementPolicies.default
    ? placeAttempt(run, attemptId)
    : placeByBaseline({ run, attemptId, plan: resolvePolicyPlan(policy), claim });
}

async function runPlaced(
  run: ModelRun,
  { placement, prefill }: Extract<BaselineOutcome, { kind: 'placed' }>,
  claim: ClaimGuard | undefined,
): Promise<AttemptOutcome> {
  const prefillLease = prefill?.lease ?? (await leaseForPrefill(run, placement));
  try {
    const refusal = await claim?.take(placement.decode.attemptId);
    if (run.signal.aborted) {
      return { kind: 'stopped' };
    }
    if (refusal !== undefined) {
      return { kind: 'refused', refusal };
    }
    return prefill === undefined
      ? await dispatch(run, placement, prefillLease, claim)
      : await streamPrefilled(run, placement, prefill, claim);
  } finally {
    prefillLease?.release();
  }
}

async function leaseForPrefill(
  run: ModelRun,
  placement: Placement,
): Promise<HeldLease | undefined> {
  if (placement.prefillInstance === undefined || run.signal.aborted) {
    return undefined;
  }
  const attemptId = `${placement.decode.attemptId}-prefill`;
  const outcome = await reservePrefill(run, placement, attemptId);
  return outcome.kind === 'granted' ? outcome.lease : undefined;
}

async function dispatch(
  run: ModelRun,
  placement: Placement,
  prefillLease: HeldLease | undefined,
  claim: ClaimGuard | undefined,
): Promise<AttemptOutcome> {
  const blocker = findDispatchBlocker(run, placement, claim);
  if (blocker !== undefined) {
    return blocker;
  }
  if (prefillLease === undefined) {
    return streamAttempt(run, { placement, onFirstToken: () => undefined });
  }
  const prefilled = await runPrefill(run, placement, prefillLease);
  if (prefilled.kind === 'failed') {
    run.tried.add(prefillLease.instance.id);
    return afterFailedPrefill(run, placement, prefilled, claim);
  }
  return streamPrefilled(run, placement, prefilled.prefill, claim);
}

/** If the prefill certainly did not run, the decode reservation is still valid and used without it. */
function afterFailedPrefill(
  run: ModelRun,
  placement: Placement,
  failure: AttemptFailure,
  claim: ClaimGuard | undefined,
): Promise<AttemptOutcome> | AttemptOutcome {
  if (failure.notRun !== true) {
    return failure;
  }
  return (
    findDispatchBlocker(run, placement, claim) ??
    streamAttempt(run, { placement, onFirstToken: () => undefined })
  );
}

async function streamPrefilled(
  run: ModelRun,
  placement: Placement,
  prefill: FinishedPrefill,
  claim: ClaimGuard | undefined,
): Promise<AttemptOutcome> {
  let isUsed = false;
  const onFirstToken = () => {
    isUsed = true;
    // The decode worker has pulled the KV cache: its copy at the prefill worker is no longer needed.
    prefill.lease.release();
  };
  const outcome =
    findDispatchBlocker(run, placement, claim) ??
    (await streamAttempt(run, { placement, prefill, onFirstToken }));
  if (!isUsed) {
    reportWastedPrefill(run, prefill, wasteCause(run, outcome));
  }
  return outcome;
}

/** Returns the outcome if dispatching is no longer allowed, judged by this process's own clock. */
function findDispatchBlocker(
  run: ModelRun,
  placement: Placement,
  claim: ClaimGuard | undefined,
): AttemptOutcome | undefined {
  if (run.signal.aborted) {
    return { kind: 'stopped' };
  }
  const detail = lapsedDetail(placement, claim);
  return detail === undefined
    ? undefined
    : {
        kind: 'failed',
        reason: refusalReasons.noCapacity,
        notRun: run.mayHaveRun ? 'unknown' : true,
        dispatched: run.mayHaveRun,
        detail,
        cause: retryCauses.notRun,
      };
}

function lapsedDetail(placement: Placement, claim: ClaimGuard | undefined): string | undefined {
  if (!placement.decode.share.isCurrent()) {
    return 'the reservation ended before it was used';
  }
  return claim?.allowsDispatch() === false ? 'the claim is too old to dispatch' : undefined;
}

function wasteCause(run: ModelRun, outcome: AttemptOutcome): WastedPrefillCause {
  if (outcome.kind === 'stopped') {
    return run.signal.reason === stopReasons.deadline
      ? wastedPrefillCauses.deadlineExceeded
      : wastedPrefillCauses.callerGone;
  }
  return outcome.kind === 'failed' && outcome.reason === refusalReasons.noCapacity
    ? wastedPrefillCauses.noDecodeSlot
    : wastedPrefillCauses.decodeFailed;
}
