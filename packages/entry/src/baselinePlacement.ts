/**
 * Places an attempt by one of the baseline policies, which exist only for measurements. Policies that
 * prefill first reserve decode memory afterwards, and try other decode workers if one refuses.
 */
import {
  nominalExpectation,
  rankWorkers,
  workerNeeds,
  type PolicyPlan,
  type ReserveExpectation,
} from '@bluebellhitch/decisions';
import type { PlatformInstance } from '@bluebellhitch/objects';
import { monotonicNowMs, refusalReasons } from '@bluebellhitch/shared';
import { retryCauses, wastedPrefillCauses } from '@bluebellhitch/telemetry';
import { collectAllBids, localPrefillTokens } from './bidRounds';
import { excludedInstances, type InstanceBid } from './candidateBids';
import type { ClaimGuard } from './claimStage';
import type { ModelRun } from './modelTypes';
import {
  choose,
  refusedChoice,
  reserveChoice,
  type ChosenWorker,
  type Placement,
  type PlacementFailure,
  type ReserveChoice,
} from './placement';
import {
  reportWastedPrefill,
  reservePrefill,
  runPrefill,
  type FinishedPrefill,
} from './prefillStage';

export type BaselineOutcome =
  /** With the finished prefill, if the policy prefills first. */
  { kind: 'placed'; placement: Placement; prefill?: FinishedPrefill } | PlacementFailure;

export interface BaselineOptions {
  run: ModelRun;
  attemptId: string;
  plan: PolicyPlan;
  claim: ClaimGuard | undefined;
}

/** Choices with their decode workers in order of preference; all use the same prefill worker. */
interface RankedChoices {
  choices: ReserveChoice[];
  workers: ChosenWorker[];
}

/** The same number of decode workers as bids are requested from by default. */
const maxDecodeWorkers = 3;

export async function placeByBaseline(options: BaselineOptions): Promise<BaselineOutcome> {
  const { run, attemptId, plan } = options;
  const ranked =
    plan.workers === 'bids' ? await rankByBids(run) : rankWithoutBids(run, plan.workers);
  if ('kind' in ranked) {
    return ranked;
  }
  if (plan.reservesFirst) {
    return reserveAny(run, attemptId, ranked);
  }
  return prefillThenReserve(options, ranked);
}

async function rankByBids(run: ModelRun): Promise<RankedChoices | PlacementFailure> {
  const [decodeBids, prefillBids] = await collectAllBids(run);
  const first = choose(run, decodeBids, prefillBids);
  if (first.kind === 'refuse') {
    return refusedChoice(first);
  }
  const choices = [first, ...furtherChoices(run, first, decodeBids, prefillBids)];
  return { choices, workers: [...decodeBids, ...prefillBids] };
}

function furtherChoices(
  run: ModelRun,
  previous: ReserveChoice,
  decodeBids: readonly InstanceBid[],
  prefillBids: readonly InstanceBid[],
): ReserveChoice[] {
  const remaining = decodeBids.filter(({ instanceId }) => instanceId !== previous.instanceId);
  const next = choose(run, remaining, prefillBids);
  return next.kind === 'refuse' ? [] : [next, ...furtherChoices(run, next, remaining, prefillBids)];
}

function rankWithoutBids(
  run: ModelRun,
  by: 'random' | 'last-hint',
): RankedChoices | PlacementFailure {
  const { context, request, emitted } = run;
  const { members, byId } = context.runtimes.members(request.document);
  const rank = (need: 'decode' | 'prefill') =>
    rankWorkers({
      by,
      need,
      instances: members,
      hints: context.runtimes.hints,
      excluded: excludedInstances(run),
      random: context.random,
      nowMs: monotonicNowMs(),
    }).flatMap(({ id }) => byId.get(id) ?? []);
  const wantsPrefill = emitted.tokenCount === 0 && request.promptTokens > localPrefillTokens;
  const prefill = wantsPrefill ? rank(workerNeeds.prefill)[0] : undefined;
  const decode = rank(workerNeeds.decode).slice(0, maxDecodeWorkers);
  if (decode.length === 0) {
    return refusedChoice({ kind: 'refuse', reason: 'no-instances', retryAfterMs: 1_000 });
  }
  return {
    choices: decode.map((instance) => nominalChoice(run, instance, prefill)),
    workers: [...decode, ...(prefill === undefined ? [] : [prefill])].map((instance) => ({
      instanceId: instance.id,
      instance,
    })),
  };
}

function nominalChoice(
  run: ModelRun,
  decode: PlatformInstance,
  prefill: PlatformInstance | undefined,
): ReserveChoice {
  const { context, request, emitted } = run;
  const { runtimes } = context;
  const { service, targets } = request.document;
  const expected = nominalExpectation({
    promptTokens: request.promptTokens + emitted.tokenCount,
    remainingMs: targets.firstTokenMs - (monotonicNowMs() - request.arrivedAtMs),
    model: runtimes.phaseModels.model(service),
    linkRates: runtimes.linkRates,
    decodeId: decode.id,
    prefillId: prefill?.id,
  });
  const choice = { kind: 'reserve', instanceId: decode.id, expected } as const;
  return prefill === undefined
    ? { ...choice, prefill: 'local' }
    : { ...choice, prefill: 'transfer', prefillInstanceId: prefill.id };
}

async function reserveAny(
  run: ModelRun,
  attemptId: string,
  { choices, workers }: RankedChoices,
): Promise<Exclude<BaselineOutcome, { kind: 'completed' }>> {
  const [choice, ...others] = choices;
  if (choice === undefined) {
    return {
      kind: 'failed',
      reason: refusalReasons.noCapacity,
      notRun: run.mayHaveRun ? 'unknown' : true,
      dispatched: run.mayHaveRun,
      detail: 'no decode worker granted its memory',
      cause: retryCauses.notRun,
    };
  }
  const outcome = await reserveChoice(run, attemptId, choice, workers);
  if (outcome.kind !== 'failed') {
    return outcome;
  }
  run.tried.add(choice.instanceId);
  return reserveAny(run, attemptId, { choices: others, workers });
}

async function prefillThenReserve(
  { run, attemptId, claim }: BaselineOptions,
  ranked: RankedChoices,
): Promise<BaselineOutcome> {
  const prefilled = await prefillBeforeReservation(run, attemptId, claim, ranked);
  if (prefilled !== undefined && prefilled.kind !== 'prefilled') {
    return prefilled;
  }
  const prefill = prefilled?.prefill;
  const choices = ranked.choices.map((choice) => ({
    ...choice,
    prefill: 'local' as const,
    expected: { ...choice.expected, neededInMs: 0, waitLimitMs: remainingWaitMs(run, choice) },
  }));
  const placed = await reserveAny(run, attemptId, { ...ranked, choices });
  if (placed.kind === 'placed') {
    return { ...placed, prefill };
  }
  if (prefill !== undefined) {
    reportWastedPrefill(run, prefill, wastedPrefillCauses.noDecodeSlot);
    prefill.lease.release();
  }
  return placed;
}

/** Runs the prefill without a decode reservation; undefined if the decode worker runs the prefill itself. */
async function prefillBeforeReservation(
  run: ModelRun,
  attemptId: string,
  claim: ClaimGuard | undefined,
  { choices, workers }: RankedChoices,
): Promise<{ kind: 'prefilled'; prefill: FinishedPrefill } | PlacementFailure | undefined> {
  const [choice] = choices;
  if (choice === undefined || choice.prefill === 'local') {
    return undefined;
  }
  const placement = {
    prefillInstance: workers.find(({ instanceId }) => instanceId === choice.prefillInstanceId)
      ?.instance,
    expected: withoutWait(choice.expected),
    usableAtMs: monotonicNowMs(),
  };
  const reserved = await reservePrefill(run, placement, `${attemptId}-prefill`);
  if (reserved.kind === 'declined') {
    return undefined;
  }
  const refusal = await claim?.take(attemptId);
  const outcome =
    refusal === undefined
      ? await runPrefill(run, placement, reserved.lease)
      : { kind: 'refused' as const, refusal };
  if (outcome.kind !== 'prefilled') {
    run.tried.add(reserved.lease.instance.id);
    reserved.lease.release();
  }
  return outcome;
}

function withoutWait(expected: ReserveExpectation): ReserveExpectation {
  return { ...expected, usableInMs: 0, neededInMs: 0 };
}

/** Time left until the first token misses its target: a longer wait would only block the queue. */
function remainingWaitMs(run: ModelRun, { expected }: ReserveChoice): number {
  const { document, arrivedAtMs } = run.request;
  const remainingMs = document.targets.firstTokenMs - (monotonicNowMs() - arrivedAtMs);
  return run.emitted.tokenCount > 0 ? expected.waitLimitMs : Math.max(0, remainingMs);
}
