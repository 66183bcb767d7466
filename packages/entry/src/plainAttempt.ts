/** Runs one attempt of a plain request: choice of a server, a slot if it must not be repeated, the call. */
import { workerNeeds, type Candidate } from '@bluebellhitch/decisions';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { ReserveRequest } from '@bluebellhitch/protocol';
import { refusalReasons } from '@bluebellhitch/shared';
import { retryCauses } from '@bluebellhitch/telemetry';
import { failureOfCall, failureOfRefusal } from './agentFailures';
import type { ClaimGuard } from './claimStage';
import { holdLease, type HeldLease } from './heldLease';
import { callServer, type PlainPlacement } from './plainCall';
import type { PlainFailure, PlainOutcome, PlainRequest, PlainRun } from './plainTypes';
import type { RequestContext } from './requestContext';
import { noteCallError, noteLoad, noteRefusal } from './serverHealth';
import { selectServers } from './serverSelection';

/** Slots of a plain service become free quickly or not at all. */
const slotWaitLimitMs = 500;

/** Picks a server, adds it to the tried ones and runs the request there. */
export async function runPlainAttempt(
  context: RequestContext,
  run: PlainRun,
  claim: ClaimGuard | undefined,
): Promise<PlainOutcome> {
  const instance = pickServer(context, run);
  if (instance === undefined) {
    return noServerFailure();
  }
  run.tried.add(instance.id);
  const placement: PlainPlacement = { instance, attemptId: context.newAttemptId() };
  if (claim === undefined) {
    return callServer(context, run, placement);
  }
  return runClaimed(context, run, placement, claim);
}

/** Reserves a slot, then takes the claim as the last step before the only dispatch. */
async function runClaimed(
  context: RequestContext,
  run: PlainRun,
  placement: PlainPlacement,
  claim: ClaimGuard,
): Promise<PlainOutcome> {
  const lease = holdLease(context, placement.instance, placement.attemptId);
  try {
    const failure = await reserveSlot(context, run, lease);
    if (failure !== undefined) {
      return failure;
    }
    const refusal = await claim.take(placement.attemptId);
    if (run.signal.aborted) {
      return { kind: 'stopped' };
    }
    if (refusal !== undefined) {
      return { kind: 'refused', refusal };
    }
    if (!lease.share.isCurrent() || !claim.allowsDispatch()) {
      return notDispatchedFailure('the reservation ended before it was used');
    }
    return await callServer(context, run, { ...placement, lease });
  } finally {
    lease.release();
  }
}

/** Selects two candidates by load hints, and of these the one with fewer calls from this entry. */
function pickServer(context: RequestContext, run: PlainRun): PlatformInstance | undefined {
  const { document } = run.request;
  const { byId } = context.runtimes.members(document);
  const runtime = context.runtimes.of(document.service);
  const candidates = selectServers({
    context,
    run,
    document,
    selector: runtime.plainSelector,
    need: workerNeeds.plain,
  });
  const inFlight = ({ instanceId }: Candidate) => runtime.inFlight.get(instanceId) ?? 0;
  const [best] = [...candidates].sort((left, right) => inFlight(left) - inFlight(right));
  run.trace.step('candidates', {
    candidates: candidates.map((candidate) => ({ ...candidate, inFlight: inFlight(candidate) })),
    choice: best?.instanceId,
  });
  return best === undefined ? undefined : byId.get(best.instanceId);
}

async function reserveSlot(
  context: RequestContext,
  run: PlainRun,
  lease: HeldLease,
): Promise<PlainFailure | undefined> {
  const { instance, attemptId } = lease;
  const reply = await context.agents.reserve(
    instance.innerAddress,
    slotReservation(context, run.request, attemptId),
    { timeoutMs: slotWaitLimitMs + context.timeouts.reserveMarginMs, signal: run.signal },
  );
  if (reply.isErr()) {
    noteCallError(context, run.request.document.service, instance.id, reply.error);
    return failureOfCall(reply.error, { dispatched: false });
  }
  if (reply.value.kind === 'granted') {
    noteLoad(context, instance.id, reply.value.load);
    return undefined;
  }
  lease.markEnded();
  noteRefusal(context, run.request.document.service, instance.id, reply.value);
  return failureOfRefusal({ ...reply.value, notRun: true }, { dispatched: false });
}

function slotReservation(
  context: RequestContext,
  request: PlainRequest,
  attemptId: string,
): ReserveRequest {
  return {
    entryId: context.entryId,
    entryIncarnation: context.entryIncarnation,
    requestId: request.exchange.requestId,
    attemptId,
    origin: request.origin,
    service: request.document.service,
    purpose: 'plain',
    promptTokens: 0,
    maxOutputTokens: 0,
    neededInMs: 0,
    waitLimitMs: slotWaitLimitMs,
    firstTokenDeadlineInMs: 0,
    repeatable: request.repeatable,
  };
}

function noServerFailure(): PlainFailure {
  return {
    kind: 'failed',
    reason: refusalReasons.noInstances,
    notRun: true,
    dispatched: false,
    detail: 'no instance of the service is available',
    cause: retryCauses.notRun,
  };
}

function notDispatchedFailure(detail: string): PlainFailure {
  return {
    kind: 'failed',
    reason: refusalReasons.noCapacity,
    notRun: true,
    dispatched: false,
    detail,
    cause: retryCauses.notRun,
  };
}
