/** One run of a stream: memory to decode in, then the prompt read, then its events passed on. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { PrefillResult } from './backendApi';
import type { Placement, PlacementOutcome } from './decodePlacement';
import {
  notRunReasons,
  type BackendServer,
  type EngineSettings,
  type NotRunReason,
  type PromptSize,
  type Route,
} from './model';
import type { PrefillOutcome, PrefillStage } from './prefillStage';
import { startQuietWatch, type QuietWatch } from './quietWatch';
import { noteStep, remainingMs, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';
import type { StreamRelay } from './streamRelay';

export type RunOutcome =
  /** The caller has its final answer. */
  | { kind: 'ended' }
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs?: number }
  /** Work may have been done; the stream may go on elsewhere. */
  | { kind: 'broken'; detail: string };

export interface StreamRun {
  state: RequestState;
  engine: EngineSettings;
  parts: RouterParts;
  prefillStage: PrefillStage;
  relay: StreamRelay;
  size: PromptSize;
}

/** From the last moment of a useful start back to now: the way to the engine and its first token. */
const startMarginMs = 60;
const leastPatienceMs = 2_000;
/** The rest is for a prefill that takes longer than expected, and the way to the caller. */
const patienceShare = 0.75;
/**
 * Of a caller's patience. An engine that is alive may pause a stream for want of memory and take it up again,
 * so only one that answers nobody is given up early.
 */
const quietShare = 1;
const silentQuietShare = 0.2;
/**
 * The same for a run that can't go on elsewhere: a server that is cut off for a moment may still end it. Without this
 * the caller of a server that lost power waits for seconds, to its own deadline, for an answer that never comes.
 */
const lastRunSilentShare = 0.4;

export async function runStream(run: StreamRun): Promise<RunOutcome> {
  const placed = await findPlace(run);
  if (placed.kind !== 'placed') {
    const { retryAfterMs } = placed;
    return { kind: 'not-run', reason: notRunReasons.noCapacity, retryAfterMs };
  }
  const { placement } = placed;
  const outcome = await runAt(run, placement);
  placement.stream.release();
  return outcome;
}

async function findPlace(run: StreamRun): Promise<PlacementOutcome> {
  const { state, engine, parts, prefillStage, size, relay } = run;
  const { request, route, service } = state;
  const startedAtMs = monotonicNowMs();
  const expectedMs = prefillStage.expectedMs(service.name, size.promptTokens) + startMarginMs;
  const stream = parts.streamSizes.expect(route.name, size, relay.eventCount());
  // A caller that has events already waits anew for the next one.
  const isResumed = state.sentCount > 0;
  const waitsFromMs = isResumed ? startedAtMs : request.arrivedAtMs;
  const patienceAtMs = waitsFromMs + callerPatienceMs(route);
  const outcome = await parts.placement.place({
    serviceName: service.name,
    engine,
    stream,
    // No more than it takes at once: an engine pauses running streams for memory that is set aside and not yet used.
    // With three quarters of the expected answer set aside, 25 to 44 of some 330 streams were paused; with this, 3 to 7.
    reservedTokens: stream.promptTokens + stream.emittedTokens,
    isResumed,
    priority: state.priority,
    arrivedAtMs: request.arrivedAtMs,
    holdMs: expectedMs + stream.medianOutputTokens / parts.streamSizes.tokensPerMs(),
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

/** Reads the prompt and decodes it in the reserved place; releases what is not used. */
async function runAt(run: StreamRun, placement: Placement): Promise<RunOutcome> {
  const { state, parts, prefillStage, size } = run;
  const { server } = placement.reservation;
  if (!state.mayStillRun()) {
    release(run, placement, undefined);
    return { kind: 'not-run', reason: notRunReasons.staleConfiguration };
  }
  const prefill: PrefillOutcome =
    server.id === state.cachedAtServerId
      ? { kind: 'at-decode' }
      : await prefillStage.run(state, size.promptTokens, server);
  if (prefill.kind === 'failed' || state.signal.aborted) {
    release(run, placement, prefill.kind === 'done' ? prefill.result : undefined);
    return { kind: 'not-run', reason: notRunReasons.noCapacity };
  }
  const result = prefill.kind === 'done' ? prefill.result : undefined;
  const lostReason = reasonNotToRun(run, server);
  if (lostReason !== undefined) {
    release(run, placement, result);
    return { kind: 'not-run', reason: lostReason };
  }
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

/** Reading the prompt may have taken long: the server may want nothing more, and the key may have been taken away. */
function reasonNotToRun({ state, parts }: StreamRun, server: BackendServer) {
  if (!state.mayStillRun()) {
    noteStep(state, 'key no longer proved');
    return notRunReasons.staleConfiguration;
  }
  if (!parts.words.mayGet(server)) {
    noteStep(state, `decode ${server.id} withheld`);
    return notRunReasons.rejected;
  }
  return undefined;
}

/** Gives back what was set aside for a run that does not come about. */
function release(
  { parts, size }: StreamRun,
  { reservation }: Placement,
  result: PrefillResult | undefined,
): void {
  parts.backend.releaseReservation(reservation);
  if (result !== undefined) {
    parts.backend.releasePrefill(result);
    parts.metrics.countWastedPrefillTokens(size.promptTokens);
  }
}

async function decode(
  run: StreamRun,
  placement: Placement,
  prefill: PrefillResult | undefined,
): Promise<RunOutcome> {
  const gone = new AbortController();
  const watch = watchRun(run, placement.reservation.server, () => gone.abort());
  try {
    return await decodeWatched(run, placement, prefill, { signal: gone.signal, watch });
  } finally {
    watch.stop();
  }
}

/** A run that is quiet ends early where it may go on elsewhere, or where its server shows that nothing runs any more. */
function watchRun(
  { state, parts }: StreamRun,
  server: BackendServer,
  onGone: () => void,
): QuietWatch {
  const { route, sentCount } = state;
  const mayGoOn = route.allowsResume && sentCount + 1 < route.maxAttempts;
  const patienceMs = callerPatienceMs(route);
  return startQuietWatch({
    quietMs: mayGoOn ? quietShare * patienceMs : undefined,
    silentServerQuietMs: (mayGoOn ? silentQuietShare : lastRunSilentShare) * patienceMs,
    isServerSilent: () => parts.engineLoads.isSilent(server.id),
    isServerRestarted: () => parts.directory.hasRestarted(server),
    onGone,
  });
}

async function decodeWatched(
  run: StreamRun,
  { reservation, stream }: Placement,
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
  const relayed = await relay.relay(outcome.value, () => {
    watch.noteProgress();
    stream.noteEmitted(parts.streamSizes.emittedTokens(relay.eventCount()));
  });
  if (relayed.kind === 'whole') {
    noteLength(run);
    parts.health.record(server.id, 'success', monotonicNowMs());
    return { kind: 'ended' };
  }
  noteBroken(run, server.id, signal.aborted);
  return { kind: 'broken', detail: relayed.detail };
}

function noteLength({ state, parts, relay, size }: StreamRun): void {
  const { streamSizes, metrics } = parts;
  const className = state.route.name;
  const events = relay.eventCount();
  const emittedTokens = streamSizes.emittedTokens(events);
  if (emittedTokens > 0) {
    const { medianOutputTokens } = streamSizes.expect(className, size, 0);
    metrics.observeLengthForecast(state.service.name, medianOutputTokens / emittedTokens);
  }
  streamSizes.observeEnd({ className, size, events, durationMs: relay.eventsTookMs() });
}

/**
 * The connection broke, which need not be the server's end. It still has the prompt in memory, so the next
 * try goes there first and reads nothing anew; after a second break it goes elsewhere.
 */
function noteBroken({ state, parts }: StreamRun, serverId: string, isGone: boolean): void {
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
