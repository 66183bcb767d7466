/**
 * Serves a request of a stream route: memory to decode in, then the prompt read, then the stream. A stream
 * that breaks goes on at another engine where the route allows it, inside the same answer.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendAnswer, PrefillResult } from './backendApi';
import type { Placement } from './decodePlacement';
import {
  notRunReasons,
  type EngineSettings,
  type NotRunReason,
  type PromptSize,
  type Refusal,
} from './model';
import type { PrefillStage } from './prefillStage';
import { lostRefusal, remainingMs, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';
import { createStreamRelay, type StreamRelay } from './streamRelay';

type RunOutcome =
  /** The caller has its final answer. */
  | { kind: 'ended' }
  | { kind: 'not-run'; reason: NotRunReason }
  /** Work may have been done; the stream may go on elsewhere. */
  | { kind: 'broken'; detail: string };

/** From the last moment of a useful start back to now: the way to the engine and its first token. */
const startMarginMs = 60;
/** Callers that were refused for want of memory come back when some streams have ended. */
const retryAfterMs = 1_200;
const maxPrefillRounds = 2;

export async function serveStream(
  state: RequestState,
  engine: EngineSettings,
  parts: RouterParts,
  prefillStage: PrefillStage,
): Promise<void> {
  const relay = createStreamRelay(state);
  const size = state.request.prompt ?? { promptTokens: 1, maxOutputTokens: 1 };
  let outcome: RunOutcome = { kind: 'not-run', reason: notRunReasons.noServer };
  let mayGoOn = true;
  while (mayGoOn && remainingMs(state) > 0 && !state.exchange.signal.aborted) {
    outcome = await runOnce({ state, engine, parts, prefillStage, relay, size });
    state.trail.push(outcome.kind === 'broken' ? `broken: ${outcome.detail}` : outcome.kind);
    mayGoOn = mayResume(state, outcome, parts);
  }
  finish(state, relay, outcome);
}

function mayResume(state: RequestState, outcome: RunOutcome, parts: RouterParts): boolean {
  if (outcome.kind !== 'broken' || !state.route.allowsResume) {
    return false;
  }
  const { name } = state.service;
  const isAllowed =
    state.sentCount < state.route.maxAttempts && parts.budget.tryTake(name, monotonicNowMs());
  if (isAllowed) {
    parts.metrics.countFurtherAttempt(name, 'resume');
  }
  return isAllowed;
}

function finish(state: RequestState, relay: StreamRelay, outcome: RunOutcome): void {
  if (outcome.kind === 'ended') {
    return;
  }
  if (relay.hasBegun()) {
    relay.cut();
    return;
  }
  const refusal: Refusal =
    outcome.kind === 'broken' || state.sentCount > 0
      ? lostRefusal(state, outcome.kind === 'broken' ? outcome.detail : 'not resumed')
      : { kind: 'not-run', reason: outcome.reason, retryAfterMs };
  state.exchange.refuse(refusal);
}

interface RunParts {
  state: RequestState;
  engine: EngineSettings;
  parts: RouterParts;
  prefillStage: PrefillStage;
  relay: StreamRelay;
  size: PromptSize;
}

async function runOnce(run: RunParts): Promise<RunOutcome> {
  const placed = await findPlace(run);
  if (placed.kind !== 'placed') {
    return {
      kind: 'not-run',
      reason: placed.kind === 'no-server' ? notRunReasons.noServer : notRunReasons.noCapacity,
    };
  }
  const { placement } = placed;
  const outcome = await runAt(run, placement);
  placement.release();
  return outcome;
}

async function findPlace({ state, engine, parts, prefillStage, size }: RunParts) {
  const { request, route, service } = state;
  const startedAtMs = monotonicNowMs();
  const expectedMs = prefillStage.expectedMs(service.name, size.promptTokens) + startMarginMs;
  const targetAtMs = request.arrivedAtMs + route.targetLatencyMs;
  const isLate = targetAtMs - expectedMs < startedAtMs;
  const outcome = await parts.placement.place({
    serviceName: service.name,
    engine,
    tokens: neededTokens(size),
    priority: route.priority,
    isLate,
    arrivedAtMs: request.arrivedAtMs,
    giveUpAtMs: isLate ? startedAtMs + route.targetLatencyMs : targetAtMs - expectedMs,
    excludedIds: state.failedServerIds,
    signal: state.signal,
  });
  const waitedMs = monotonicNowMs() - startedAtMs;
  parts.metrics.observePlacement(service.name, waitedMs);
  state.trail.push(`${outcome.kind} ${Math.round(waitedMs)}ms`);
  return outcome;
}

function neededTokens({ promptTokens, maxOutputTokens, expectedOutputTokens }: PromptSize): number {
  return promptTokens + Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens);
}

/** Reads the prompt and decodes it in the reserved place; releases what is not used. */
async function runAt(run: RunParts, placement: Placement): Promise<RunOutcome> {
  const { state, parts, prefillStage, size } = run;
  const { reservation } = placement;
  let prefillRounds = 0;
  let outcome: RunOutcome = { kind: 'not-run', reason: notRunReasons.noServer };
  while (prefillRounds < maxPrefillRounds && remainingMs(state) > 0) {
    const prefill = await prefillStage.run(state, size.promptTokens);
    if (prefill.kind === 'failed' || state.signal.aborted) {
      if (prefill.kind === 'done') {
        parts.backend.releasePrefill(prefill.result);
        parts.metrics.countWastedPrefillTokens(size.promptTokens);
      }
      parts.backend.releaseReservation(reservation);
      return { kind: 'not-run', reason: notRunReasons.noCapacity };
    }
    prefillRounds += 1;
    outcome = await decode(run, placement, prefill.kind === 'done' ? prefill.result : undefined);
    if (outcome.kind !== 'not-run') {
      return outcome;
    }
    parts.metrics.countWastedPrefillTokens(size.promptTokens);
    return outcome;
  }
  return outcome;
}

async function decode(
  run: RunParts,
  { reservation }: Placement,
  prefill: PrefillResult | undefined,
): Promise<RunOutcome> {
  const { state, parts, relay } = run;
  const { server } = reservation;
  const leftMs = remainingMs(state);
  const outcome = await parts.backend.run(server, state.request, {
    remainingMs: leftMs,
    headTimeoutMs: leftMs,
    signal: state.signal,
    reservation,
    prefill,
    lastEventId: relay.lastEventId(),
  });
  if (outcome.kind === 'not-run') {
    state.trail.push(`decode ${server.id} ${outcome.cause.kind}`);
    state.failedServerIds.add(server.id);
    return { kind: 'not-run', reason: notRunReasons.rejected };
  }
  state.sentCount += 1;
  if (outcome.kind === 'lost') {
    state.failedServerIds.add(server.id);
    recordFailure(run, server.id);
    return { kind: 'broken', detail: outcome.detail };
  }
  return relayAnswer(run, outcome.value, server.id);
}

async function relayAnswer(
  run: RunParts,
  answer: BackendAnswer,
  serverId: string,
): Promise<RunOutcome> {
  const { state, parts, relay } = run;
  state.trail.push(`decode ${serverId} ${answer.status}`);
  const outcome = await relay.relay(answer);
  if (outcome.kind === 'whole') {
    parts.health.record(serverId, 'success', monotonicNowMs());
    return { kind: 'ended' };
  }
  state.failedServerIds.add(serverId);
  recordFailure(run, serverId);
  return { kind: 'broken', detail: outcome.detail };
}

function recordFailure({ state, parts }: RunParts, serverId: string): void {
  if (!state.signal.aborted) {
    parts.health.record(serverId, 'failure', monotonicNowMs());
  }
}
