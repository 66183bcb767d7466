/**
 * Serves a request of a stream route: memory to decode in, then the prompt read, then the stream. A stream
 * that breaks goes on at another engine where the route allows it, inside the same answer.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { PrefillResult } from './backendApi';
import type { Placement } from './decodePlacement';
import {
  notRunReasons,
  type EngineSettings,
  type NotRunReason,
  type PromptSize,
  type Refusal,
  type Route,
} from './model';
import type { PrefillOutcome, PrefillStage } from './prefillStage';
import { startQuietWatch, type QuietWatch } from './quietWatch';
import { lostRefusal, noteStep, remainingMs, type RequestState } from './requestState';
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
/** Places that are tried for one request; each try waits for memory anew. */
const maxRounds = 3;
const leastPatienceMs = 2_000;
/** The rest is for a prefill that takes longer than expected, and the way to the caller. */
const patienceShare = 0.75;
/**
 * Of a caller's patience. An engine that is alive may pause a stream for want of memory and take it up again,
 * so only one that answers nobody is given up early.
 */
const quietShare = 1;
const silentQuietShare = 0.2;

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
  for (let round = 1; mayGoOn && isWanted(state); round += 1) {
    outcome = await runOnce({ state, engine, parts, prefillStage, relay, size });
    noteStep(state, outcome.kind === 'broken' ? `broken: ${outcome.detail}` : outcome.kind);
    mayGoOn = round < maxRounds && mayTryAgain(state, outcome, parts);
  }
  finish(state, relay, outcome);
}

function isWanted(state: RequestState): boolean {
  return remainingMs(state) > 0 && !state.exchange.signal.aborted;
}

function mayTryAgain(state: RequestState, outcome: RunOutcome, parts: RouterParts): boolean {
  switch (outcome.kind) {
    case 'ended':
      return false;
    case 'not-run':
      // Its place was lost between the reservation and the run: nothing has run, so any route may go on.
      return outcome.reason === notRunReasons.rejected && takeAttempt(state, 'rejected', parts);
    case 'broken':
      return (
        state.route.allowsResume &&
        state.sentCount < state.route.maxAttempts &&
        takeAttempt(state, 'resume', parts)
      );
  }
}

function takeAttempt(
  state: RequestState,
  cause: string,
  { budget, metrics }: RouterParts,
): boolean {
  const { name } = state.service;
  const isAllowed = budget.tryTake(name, monotonicNowMs());
  if (isAllowed) {
    metrics.countFurtherAttempt(name, cause);
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
  // A caller that has events already waits anew for the next one.
  const isResumed = state.sentCount > 0;
  const waitsFromMs = isResumed ? startedAtMs : request.arrivedAtMs;
  const patienceAtMs = waitsFromMs + callerPatienceMs(route);
  const outcome = await parts.placement.place({
    serviceName: service.name,
    engine,
    tokens: neededTokens(size),
    isResumed,
    priority: route.priority,
    arrivedAtMs: request.arrivedAtMs,
    onTimeUntilMs: request.arrivedAtMs + route.targetLatencyMs - expectedMs,
    giveUpAtMs: Math.min(patienceAtMs, state.endsAtMs) - expectedMs,
    excludedIds: state.failedServerIds,
    preferredId: state.cachedAtServerId,
    signal: state.signal,
  });
  const waitedMs = monotonicNowMs() - startedAtMs;
  parts.metrics.observePlacement(service.name, waitedMs);
  noteStep(state, `${outcome.kind} ${Math.round(waitedMs)}ms`);
  return outcome;
}

/** Callers abandon a stream that shows no event for the longest of these. */
function callerPatienceMs({ targetLatencyMs, targetGapMs }: Route): number {
  return patienceShare * Math.max(leastPatienceMs, 4 * targetLatencyMs, 8 * targetGapMs);
}

/** A stream's memory grows with its output: over its life it holds half of that. */
function neededTokens({ promptTokens, maxOutputTokens, expectedOutputTokens }: PromptSize): number {
  const outputTokens = Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens);
  return promptTokens + 0.75 * outputTokens;
}

/** Reads the prompt and decodes it in the reserved place; releases what is not used. */
async function runAt(run: RunParts, placement: Placement): Promise<RunOutcome> {
  const { state, parts, prefillStage, size } = run;
  const { server } = placement.reservation;
  const prefill: PrefillOutcome =
    server.id === state.cachedAtServerId
      ? { kind: 'at-decode' }
      : await prefillStage.run(state, size.promptTokens, server);
  if (prefill.kind === 'failed' || state.signal.aborted) {
    if (prefill.kind === 'done') {
      parts.backend.releasePrefill(prefill.result);
      parts.metrics.countWastedPrefillTokens(size.promptTokens);
    }
    parts.backend.releaseReservation(placement.reservation);
    return { kind: 'not-run', reason: notRunReasons.noCapacity };
  }
  const result = prefill.kind === 'done' ? prefill.result : undefined;
  const endOwnPrompt =
    result === undefined ? parts.engineLoads.beginOwnPrompt(server.id) : () => undefined;
  run.relay.onFirstEvent(endOwnPrompt);
  const outcome = await decode(run, placement, result);
  endOwnPrompt();
  if (outcome.kind === 'not-run' && result !== undefined) {
    parts.metrics.countWastedPrefillTokens(size.promptTokens);
  }
  return outcome;
}

async function decode(
  run: RunParts,
  placement: Placement,
  prefill: PrefillResult | undefined,
): Promise<RunOutcome> {
  const gone = new AbortController();
  const watch = watchRun(run, placement.reservation.server.id, () => gone.abort());
  try {
    return await decodeWatched(run, placement, prefill, { signal: gone.signal, watch });
  } finally {
    watch.stop();
  }
}

/** Only a stream that may go on elsewhere gains by being broken off. */
function watchRun({ state, parts }: RunParts, serverId: string, onGone: () => void): QuietWatch {
  const { route, sentCount } = state;
  const mayGoOn = route.allowsResume && sentCount + 1 < route.maxAttempts;
  const patienceMs = callerPatienceMs(route);
  return startQuietWatch({
    quietMs: mayGoOn ? quietShare * patienceMs : Infinity,
    silentServerQuietMs: mayGoOn ? silentQuietShare * patienceMs : Infinity,
    isServerSilent: () => parts.engineLoads.isSilent(serverId),
    onGone,
  });
}

async function decodeWatched(
  run: RunParts,
  { reservation }: Placement,
  prefill: PrefillResult | undefined,
  { signal, watch }: { signal: AbortSignal; watch: QuietWatch },
): Promise<RunOutcome> {
  const { state, parts, relay } = run;
  const { server } = reservation;
  const leftMs = remainingMs(state);
  if (prefill === undefined) {
    noteStep(state, 'prompt at decode');
  }
  const outcome = await parts.backend.run(server, state.request, {
    remainingMs: leftMs,
    headTimeoutMs: leftMs,
    signal: AbortSignal.any([state.signal, signal]),
    reservation,
    prefill,
    lastEventId: relay.lastEventId(),
  });
  if (outcome.kind === 'not-run') {
    noteStep(state, `decode ${server.id} ${outcome.cause.kind}`);
    state.failedServerIds.add(server.id);
    return { kind: 'not-run', reason: notRunReasons.rejected };
  }
  state.sentCount += 1;
  if (outcome.kind === 'lost') {
    noteBroken(run, server.id, signal.aborted);
    return { kind: 'broken', detail: outcome.detail };
  }
  noteStep(state, `decode ${server.id} ${outcome.value.status}`);
  const relayed = await relay.relay(outcome.value, watch.noteProgress);
  if (relayed.kind === 'whole') {
    parts.health.record(server.id, 'success', monotonicNowMs());
    return { kind: 'ended' };
  }
  noteBroken(run, server.id, signal.aborted);
  return { kind: 'broken', detail: relayed.detail };
}

/**
 * The connection broke, which need not be the server's end. It still has the prompt in memory, so the next
 * try goes there first and reads nothing anew; after a second break it goes elsewhere.
 */
function noteBroken({ state, parts }: RunParts, serverId: string, isGone: boolean): void {
  if (state.cachedAtServerId === undefined && !isGone) {
    state.cachedAtServerId = serverId;
  } else {
    state.cachedAtServerId = undefined;
    state.failedServerIds.add(serverId);
  }
  if (!state.signal.aborted) {
    parts.health.record(serverId, 'failure', monotonicNowMs());
  }
}
