/**
 * Places an attempt: bids, the choice among them, and the reservation of decode memory. No prefill
 * starts before the reservation is granted.
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
import { separate, separateBids, separationWaitMs, waitForSeparateServer } from './separation';
import { noteCallError, noteLoad, noteRefusal } from './serverHealth';

/** A granted decode reservation, and how the prompt's KV cache gets there. */
export interface Placement {
  decode: HeldLease;
  /** Lets other struck requests onto the decode worker; idempotent. */
  endSeparation: () => void;
  /** Absent where the decode worker prefills itself. */
  prefillInstance?: PlatformInstance;
  expected: ReserveExpectation;
  /** When the slot is usable, on the monotonic clock. */
  usableAtMs: number;
}

export type PlacementOutcome = { kind: 'placed'; placement: Placement } | PlacementFailure;
export type PlacementFailure = Exclude<AttemptOutcome, { kind: 'completed' }>;
export type ReserveChoice = Extract<BidChoice, { kind: 'reserve' }>;
/** An instance that a choice may name. */
export type ChosenWorker = Pick<InstanceBid, 'instanceId' | 'instance'>;

/** Tries the bids in order of preference until an agent grants its memory. */
export async function placeAttempt(run: ModelRun, attemptId: string): Promise<PlacementOutcome> {
  const giveUpAtMs = monotonicNowMs() + separationWaitMs;
  for (;;) {
    await waitForSeparateServer(run, giveUpAtMs);
    const [decodeBids, prefillBids] = await collectUsableBids(run);
    observePressure(run, decodeBids);
    const overtaken = decodeBids.length > 0 && separateBids(run, decodeBids).length === 0;
    if (!overtaken || run.signal.aborted || monotonicNowMs() >= giveUpAtMs) {
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
  const choice = choose(run, separateBids(run, decodeBids), prefillBids);
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
  const resumes = emitted.tokenCount > 0;
  return chooseBid({
    decodeBids,
    prefillBids,
    promptTokens: request.promptTokens + emitted.tokenCount,
    targets: document.targets,
    // The caller has tokens already: what is left to gain is the whole answer, at almost any price.
    weights: resumes ? { goodput: 1, wastedPrefill: 0 } : document.weights,
    model: context.runtimes.phaseModels.model(document.service),
    linkRates: context.runtimes.linkRates,
    elapsedMs: resumes ? 0 : monotonicNowMs() - request.arrivedAtMs,
    localPrefillTokens,
  });
}

/** Asks the chosen decode worker for its memory. */
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
  // Noted with the choice: of two struck requests that choose at once, the second sees the first.
  const endSeparation = separate(run, attemptId, instance.id);
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
  lease.settle();
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

/** Predicted wait over the target, which the overload controller follows. */
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
