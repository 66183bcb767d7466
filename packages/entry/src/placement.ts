/**
 * Places an attempt: collects bids, chooses among them and reserves decode memory. No prefill starts
 * before the reservation has been granted.
 */
import { chooseBid, type BidChoice, type ReserveExpectation } from '@bluebellhitch/decisions';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { ReserveReply } from '@bluebellhitch/protocol';
import { createRefusal, monotonicNowMs, refusalReasons } from '@bluebellhitch/shared';
import { retryCauses } from '@bluebellhitch/telemetry';
import { failureOfCall, failureOfRefusal } from './agentFailures';
import { collectUsableBids, localPrefillTokens } from './bidRounds';
import type { InstanceBid } from './candidateBids';
import { decodeReservation } from './decodeReservation';
import { callUnderLease, holdLease, type HeldLease } from './heldLease';
import type { AttemptFailure, AttemptOutcome, ModelRun } from './modelTypes';
import {
  trackPlacement,
  filterSeparateBids,
  separationWaitMs,
  waitForSeparateServer,
} from './separation';
import { noteCallError, noteLoad, noteRefusal } from './serverHealth';

/** A granted decode reservation, and how the decode worker obtains the prompt's KV cache. */
export interface Placement {
  decode: HeldLease;
  /** Allows other requests with strikes on the decode worker again; idempotent. */
  endSeparation: () => void;
  /** Undefined if the decode worker runs the prefill itself. */
  prefillInstance?: PlatformInstance;
  expected: ReserveExpectation;
  /** Monotonic time from which the slot is usable, in ms. */
  usableAtMs: number;
}

export type PlacementOutcome = { kind: 'placed'; placement: Placement } | PlacementFailure;
export type PlacementFailure = Exclude<AttemptOutcome, { kind: 'completed' }>;
export type ReserveChoice = Extract<BidChoice, { kind: 'reserve' }>;
/** An instance that a choice may refer to. */
export type ChosenWorker = Pick<InstanceBid, 'instanceId' | 'instance'>;

/** Tries the bids in order of preference until an agent grants the reservation. */
export async function placeAttempt(run: ModelRun, attemptId: string): Promise<PlacementOutcome> {
  const giveUpAtMs = monotonicNowMs() + separationWaitMs;
  for (;;) {
    await waitForSeparateServer(run, giveUpAtMs);
    const [decodeBids, prefillBids] = await collectUsableBids(run);
    observePressure(run, decodeBids);
    const areAllTaken = decodeBids.length > 0 && filterSeparateBids(run, decodeBids).length === 0;
    if (!areAllTaken || run.signal.aborted || monotonicNowMs() >= giveUpAtMs) {
      return reserveBest(run, attemptId, decodeBids, prefillBids, undefined);
    }
  }
}

async function reserveBest(
  run: ModelRun,
  attemptId: string,
  decodeBids: readonly InstanceBid[],
  prefillBids: readonly InstanceBid[],
  lastFailure: AttemptFailure | undefined,
): Promise<PlacementOutcome> {
  if (run.signal.aborted) {
    return { kind: 'stopped' };
  }
  const choice = choose(run, filterSeparateBids(run, decodeBids), prefillBids);
  run.trace.step('choice', choiceDetail(choice));
  if (choice.kind === 'refuse') {
    return lastFailure ?? refusedChoice(choice);
  }
  const outcome = await reserveChoice(run, attemptId, choice, [...decodeBids, ...prefillBids]);
  if (outcome.kind !== 'failed') {
    return outcome;
  }
  run.tried.add(choice.instanceId);
  const remaining = decodeBids.filter(({ instanceId }) => instanceId !== choice.instanceId);
  return reserveBest(run, attemptId, remaining, prefillBids, outcome);
}

export function choose(
  run: ModelRun,
  decodeBids: readonly InstanceBid[],
  prefillBids: readonly InstanceBid[],
): BidChoice {
  const { context, request, emitted } = run;
  const { document } = request;
  const isContinuation = emitted.tokenCount > 0;
  return chooseBid({
    decodeBids,
    prefillBids,
    promptTokens: request.promptTokens + emitted.tokenCount,
    targets: document.targets,
    // The caller has received tokens already: only completing the response still has value, at almost any cost.
    weights: isContinuation ? { goodput: 1, wastedPrefill: 0 } : document.weights,
    model: context.runtimes.phaseModels.model(document.service),
    linkRates: context.runtimes.linkRates,
    elapsedMs: isContinuation ? 0 : monotonicNowMs() - request.arrivedAtMs,
    localPrefillTokens,
  });
}

/** Requests the reservation from the chosen decode worker. */
export async function reserveChoice(
  run: ModelRun,
  attemptId: string,
  choice: ReserveChoice,
  workers: readonly ChosenWorker[],
): Promise<PlacementOutcome> {
  const { context, request } = run;
  const find = (id: string) => workers.find(({ instanceId }) => instanceId === id)?.instance;
  const instance = find(choice.instanceId) as PlatformInstance;
  const message = decodeReservation(run, attemptId, choice.expected);
  // Recorded together with the choice: if two requests with strikes choose at once, the second sees the first.
  const endSeparation = trackPlacement(run, attemptId, instance.id);
  const lease = holdLease(context, instance, attemptId, endSeparation);
  const timeoutMs = message.waitLimitMs + context.timeouts.reserveMarginMs;
  const reply = await callUnderLease(lease, run.signal, (signal) =>
    context.agents.reserve(instance.innerAddress, message, { timeoutMs, signal }),
  );
  if (run.signal.aborted) {
    lease.release();
    return { kind: 'stopped' };
  }
  if (reply.isErr()) {
    lease.release();
    noteCallError(context, request.document.service, instance.id, reply.error);
    run.trace.step('reserve-failed', { instanceId: instance.id, error: reply.error });
    return failureOfCall(reply.error, { dispatched: false });
  }
  if (reply.value.kind === 'refused') {
    return refusedReservation(run, lease, reply.value);
  }
  noteLoad(context, instance.id, reply.value.load);
  run.trace.step('reserved', { instanceId: instance.id, usableInMs: reply.value.usableInMs });
  const placement: Placement = {
    decode: lease,
    endSeparation,
    prefillInstance: choice.prefill === 'transfer' ? find(choice.prefillInstanceId) : undefined,
    expected: choice.expected,
    usableAtMs: monotonicNowMs() + reply.value.usableInMs,
  };
  return { kind: 'placed', placement };
}

function refusedReservation(
  run: ModelRun,
  lease: HeldLease,
  refusal: Extract<ReserveReply, { kind: 'refused' }>,
): AttemptFailure {
  lease.markEnded();
  lease.release();
  noteRefusal(run.context, run.request.document.service, lease.instance.id, refusal);
  run.trace.step('reserve-refused', { instanceId: lease.instance.id, reason: refusal.reason });
  return failureOfRefusal({ ...refusal, notRun: true }, { dispatched: false });
}

export function refusedChoice(choice: Extract<BidChoice, { kind: 'refuse' }>): PlacementFailure {
  if (choice.reason === refusalReasons.noInstances) {
    return {
      kind: 'failed',
      reason: choice.reason,
      notRun: true,
      dispatched: false,
      detail: 'no instance of the service answered',
      cause: retryCauses.notRun,
      retryAfterMs: choice.retryAfterMs,
    };
  }
  const detail =
    choice.reason === refusalReasons.noCapacity
      ? 'no instance has the memory for this request'
      : 'the first token would come too late';
  return {
    kind: 'refused',
    refusal: createRefusal({ reason: choice.reason, detail, retryAfterMs: choice.retryAfterMs }),
  };
}

/** Reports the ratio of predicted wait to target to the overload controller. */
function observePressure(run: ModelRun, bids: readonly InstanceBid[]): void {
  const { document } = run.request;
  const waits = bids.flatMap(({ bid }) => bid.usableInMs ?? []);
  if (waits.length > 0) {
    const pressure = Math.min(...waits) / document.targets.firstTokenMs;
    run.context.runtimes.of(document.service).overload.observe(pressure, monotonicNowMs());
  }
}

function choiceDetail(choice: BidChoice): Record<string, unknown> {
  if (choice.kind === 'refuse') {
    return { ...choice };
  }
  const { firstTokenMs, probability, value, uncachedTokens, late } = choice.expected;
  return { ...choice, expected: { firstTokenMs, probability, value, uncachedTokens, late } };
}
