/** One run of a stream: reserves decode memory, has the prompt prefilled, then relays the decoded events. */
import { paceToEndInTime } from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import type { PrefillResult } from './backendApi';
import type { Placement, PlacementOutcome, PlacementRequest } from './decodePlacement';
import { placeForLocalPrefill } from './localPrefillPlacement';
import {
  notRunReasons,
  type BackendServer,
  type EngineSettings,
  type NotRunReason,
  type PromptSize,
  type Route,
} from './model';
import type { PrefillOutcome, PrefillStage } from './prefillStage';
import { lostRunCauses, noteEventTime, recordLostRun, type EventTimes } from './lostRuns';
import { startStallWatch, type StallWatch } from './stallWatch';
import {
  maySend,
  noteStep,
  reasonNotToSend,
  remainingMs,
  type NotSendable,
  type RequestState,
} from './requestState';
import type { RouterDependencies } from './routerDependencies';
import { createRunObserver } from './runObserver';
import { noteBrokenRun, noteCompleteRun, noteOrigin } from './runResults';
import type { StreamRelay } from './streamRelay';

export type RunOutcome =
  /** The caller has its final response. */
  | { kind: 'ended' }
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs?: number }
  /** The server may have done work; the stream may continue on another server. */
  | { kind: 'broken'; detail: string };

export interface StreamRun {
  state: RequestState;
  engine: EngineSettings;
  deps: RouterDependencies;
  prefillStage: PrefillStage;
  relay: StreamRelay;
  size: PromptSize;
}

/** Time from the start of a run to its first event, besides the prefill: the network and the first token. */
const startOverheadMs = 60;
const minEventTimeoutMs = 2_000;
/** The rest is a margin for a prefill that takes longer than expected and for the network to the caller. */
const eventTimeoutShare = 0.75;
/**
 * Shares of the event timeout after which a run without events is abandoned. A live engine may pause a stream for lack
 * of memory and resume it later, so only a run on an unresponsive engine is abandoned early.
 */
const stallTimeoutShare = 1;
const unresponsiveTimeoutShare = 0.2;
/**
 * The same for a run that cannot continue elsewhere: a server that was only unreachable for a moment may still finish
 * it. Without this limit, the caller of a server that lost power would wait several seconds, until its own deadline,
 * for a response that never arrives.
 */
const lastRunUnresponsiveTimeoutShare = 0.4;

export async function runStream(run: StreamRun): Promise<RunOutcome> {
  const placed = await placeRun(run);
  switch (placed.kind) {
    case 'no-capacity':
      return {
        kind: 'not-run',
        reason: notRunReasons.noCapacity,
        retryAfterMs: placed.retryAfterMs,
      };
    case 'no-version':
      return { kind: 'not-run', reason: notRunReasons.noServerOfVersion };
    case 'placed': {
      const outcome = await runAt(run, placed.placement);
      placed.placement.stream.release();
      return outcome;
    }
    default:
      return assertNever(placed);
  }
}

async function placeRun(run: StreamRun): Promise<PlacementOutcome> {
  const { state, deps } = run;
  const startedAtMs = monotonicNowMs();
  const outcome = await deps.placement.place(createPlacementRequest(run));
  const waitedMs = monotonicNowMs() - startedAtMs;
  deps.metrics.observePlacement(state.service.name, waitedMs);
  noteStep(state, `${outcome.kind} ${Math.round(waitedMs)}ms`);
  return outcome;
}

function createPlacementRequest(run: StreamRun): PlacementRequest {
  const { state, engine, deps, prefillStage, size, relay } = run;
  const { request, route, service } = state;
  const expectedMs = prefillStage.expectedMs(service.name, size.promptTokens) + startOverheadMs;
  const stream = deps.streamSizes.estimateStream(route.name, size, relay.eventCount());
  // For a caller that has already received events, the timeout restarts.
  const isResumed = state.sentCount > 0 || request.lastEventId !== undefined;
  const waitingSinceMs = isResumed ? monotonicNowMs() : request.arrivedAtMs;
  const eventTimeoutAtMs = waitingSinceMs + eventTimeoutMs(route);
  return {
    serviceName: service.name,
    engine,
    stream,
    // Only what the stream needs at its start: an engine pauses running streams to honour reservations not yet used.
    // With three quarters of the expected response reserved, 25 to 44 of some 330 streams were paused; with this,
    // 3 to 7.
    reservedTokens: stream.promptTokens + stream.emittedTokens,
    isResumed,
    targetGapMs: route.targetGapMs,
    maxPaceMs: maxPaceMs(run, stream, expectedMs),
    priority: state.priority,
    arrivedAtMs: request.arrivedAtMs,
    expectedHoldMs: expectedMs + stream.medianOutputTokens / deps.streamSizes.tokensPerMs(),
    latestStartAtMs: request.arrivedAtMs + route.targetLatencyMs - expectedMs,
    expiresAtMs: Math.min(eventTimeoutAtMs, state.endsAtMs) - expectedMs,
    excludedIds: state.failedServerIds,
    preferredId: state.cachedAtServerId,
    softwareVersion: state.resumedVersion ?? relay.softwareVersions()[0],
    signal: state.signal,
  };
}

function maxPaceMs(
  { state, deps }: StreamRun,
  { medianOutputTokens, emittedTokens }: StreamEstimate,
  startMs: number,
): number {
  const { streamSizes } = deps;
  const leftTokens = medianOutputTokens - emittedTokens;
  return paceToEndInTime({
    medianEvents: leftTokens / (streamSizes.emittedTokens(1) || Infinity),
    lengthShape: streamSizes.lengthShape(),
    remainingMs: remainingMs(state) - startMs,
  });
}

/** Callers abandon a stream without an event for the longest of these times; the result leaves a margin before that. */
function eventTimeoutMs({ targetLatencyMs, targetGapMs }: Route): number {
  return eventTimeoutShare * Math.max(minEventTimeoutMs, 4 * targetLatencyMs, 8 * targetGapMs);
}

/** Has the prompt prefilled and decodes it in the reserved memory; releases what stays unused. */
async function runAt(run: StreamRun, placement: Placement): Promise<RunOutcome> {
  const { state, prefillStage, size } = run;
  const { server } = placement.reservation;
  const withheld = reasonNotToSend(state);
  if (withheld !== undefined) {
    releaseUnused(run, placement, undefined);
    return { kind: 'not-run', ...withheld };
  }
  const prefill: PrefillOutcome =
    server.id === state.cachedAtServerId
      ? { kind: 'at-decode' }
      : await prefillStage.run(state, size.promptTokens, server);
  if (prefill.kind === 'withheld') {
    releaseUnused(run, placement, undefined);
    return { kind: 'not-run', ...prefill.withheld };
  }
  if (prefill.kind === 'failed' || state.signal.aborted) {
    releaseUnused(run, placement, prefill.kind === 'done' ? prefill.result : undefined);
    return { kind: 'not-run', reason: notRunReasons.noCapacity };
  }
  if (prefill.kind === 'done') {
    return decodePrefilled(run, placement, prefill.result);
  }
  const isCached = server.id === state.cachedAtServerId;
  const chosen = isCached ? placement : await placeForPrefill(run, placement);
  const outcome = await decodePrefilled(run, chosen, undefined);
  if (chosen !== placement) {
    chosen.stream.release();
  }
  return outcome;
}

/** Memory that is free now is enough reason to move a prompt, but not to wait for it. */
function placeForPrefill(run: StreamRun, placement: Placement): Promise<Placement> {
  const { state, deps, prefillStage, size } = run;
  const prefill = { state, deps, localMs: prefillStage.localMs(size.promptTokens) };
  return placeForLocalPrefill(prefill, placement, (excludedIds) =>
    deps.placement.place({
      ...createPlacementRequest(run),
      ...{ excludedIds, preferredId: undefined, isImmediate: true },
    }),
  );
}

async function decodePrefilled(
  run: StreamRun,
  placement: Placement,
  result: PrefillResult | undefined,
): Promise<RunOutcome> {
  const { deps, size } = run;
  const { server } = placement.reservation;
  const withheld = reasonNotToDecode(run, server);
  if (withheld !== undefined) {
    releaseUnused(run, placement, result);
    return { kind: 'not-run', ...withheld };
  }
  const endLocalPrefill =
    result === undefined ? deps.engineLoads.beginLocalPrefill(server.id) : () => undefined;
  run.relay.onFirstEvent(endLocalPrefill);
  const outcome = await decode(run, placement, result);
  endLocalPrefill();
  if (outcome.kind === 'not-run' && result !== undefined) {
    deps.metrics.countWastedPrefillTokens(size.promptTokens);
  }
  return outcome;
}

/**
 * During a long prefill the server may have stopped accepting requests, or stated another software version, or the
 * request may no longer be sent.
 */
function reasonNotToDecode(
  { state, deps }: StreamRun,
  server: BackendServer,
): NotSendable | undefined {
  const hasChanged = deps.directory.get(server.id)?.softwareVersion !== server.softwareVersion;
  if (hasChanged || !deps.notices.isAccepting(server)) {
    noteStep(state, `decode ${server.id} withheld`);
    return { reason: notRunReasons.rejected };
  }
  return reasonNotToSend(state);
}

/** Releases the reservation and the prefill result of a run that is not started. */
function releaseUnused(
  { deps, size }: StreamRun,
  { reservation }: Placement,
  result: PrefillResult | undefined,
): void {
  deps.backend.releaseReservation(reservation);
  if (result !== undefined) {
    deps.backend.releasePrefill(result);
    deps.metrics.countWastedPrefillTokens(size.promptTokens);
  }
}

async function decode(
  run: StreamRun,
  placement: Placement,
  prefill: PrefillResult | undefined,
): Promise<RunOutcome> {
  const stalled = new AbortController();
  const watch = watchRun(run, placement.reservation.server, () => stalled.abort());
  try {
    return await decodeWatched(run, placement, prefill, { signal: stalled.signal, watch });
  } finally {
    watch.stop();
  }
}

/**
 * Abandons a run without events early if it can continue elsewhere, or if its server is unresponsive or has restarted.
 */
function watchRun(
  { state, deps }: StreamRun,
  server: BackendServer,
  onStalled: () => void,
): StallWatch {
  const { route, sentCount } = state;
  const mayContinue = route.allowsResume && sentCount + 1 < route.maxAttempts;
  const timeoutMs = eventTimeoutMs(route);
  return startStallWatch({
    stallTimeoutMs: mayContinue ? stallTimeoutShare * timeoutMs : undefined,
    unresponsiveStallTimeoutMs:
      (mayContinue ? unresponsiveTimeoutShare : lastRunUnresponsiveTimeoutShare) * timeoutMs,
    isServerUnresponsive: () => deps.engineLoads.isUnresponsive(server.id),
    isServerRestarted: () => deps.directory.hasRestarted(server),
    onLost: onStalled,
  });
}

async function decodeWatched(
  run: StreamRun,
  { reservation, stream }: Placement,
  prefill: PrefillResult | undefined,
  { signal, watch }: { signal: AbortSignal; watch: StallWatch },
): Promise<RunOutcome> {
  const { state, deps, relay } = run;
  const { server } = reservation;
  const startedAtMs = monotonicNowMs();
  const availableMs = remainingMs(state);
  const eventTimes: EventTimes = {};
  const breakRun = (detail: string): RunOutcome => {
    const isOurs = signal.aborted || state.signal.aborted;
    const cause = isOurs ? lostRunCauses.router : lostRunCauses.server;
    recordLostRun({ state, server, startedAtMs, cause, detail, ...eventTimes }, deps);
    noteBrokenRun(run, server.id, signal.aborted);
    return { kind: 'broken', detail };
  };
  if (prefill === undefined) {
    noteStep(state, 'prompt at decode');
  }
  state.lastSentAtMs = startedAtMs;
  const outcome = await deps.backend.run(server, state.request, {
    remainingMs: availableMs,
    headTimeoutMs: availableMs,
    maySend: () => maySend(state),
    signal: AbortSignal.any([state.signal, signal]),
    ...{ reservation, prefill },
    lastEventId: relay.lastEventId(),
  });
  if (outcome.kind === 'not-run') {
    noteStep(state, `decode ${server.id} ${outcome.cause.kind}`);
    state.failedServerIds.add(server.id);
    return { kind: 'not-run', reason: notRunReasons.rejected };
  }
  state.sentCount += 1;
  if (outcome.kind === 'lost') {
    return breakRun(outcome.detail);
  }
  noteStep(state, `decode ${server.id} ${outcome.value.status}`);
  const observer = createRunObserver(run, server.id);
  const { identity, request } = state;
  const observedRun = deps.quarantine.observeRun({
    ...{ identity, requestId: request.id, server, startedAtMs },
  });
  const relayed = await relay.relay({
    response: outcome.value,
    softwareVersion: server.softwareVersion,
    onProgress() {
      noteEventTime(eventTimes);
      observedRun.noteEvent();
      noteOrigin(run, server);
      watch.noteProgress();
      observer.noteEvents();
      stream.noteEmitted(deps.streamSizes.emittedTokens(relay.eventCount()));
    },
    contextSince: observer.contextSince,
  });
  if (relayed.kind === 'whole') {
    observedRun.noteCompleted();
    noteCompleteRun(run);
    deps.health.record(server.id, 'success', monotonicNowMs());
    return { kind: 'ended' };
  }
  return breakRun(relayed.detail);
}
