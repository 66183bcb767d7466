/** What one run of a stream asks of the engine on which it is placed, and until when its caller waits for an event. */
import { paceToEndInTime } from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { PlacementRequest } from '../servers/decodePlacement';
import type { Route } from '../model';
import { remainingMs } from './requestState';
import type { ActiveRun, StreamRun } from './streamRun';

/** Time from the start of a run to its first event, besides the prefill: the network and the first token. */
const startOverheadMs = 60;
const minEventTimeoutMs = 2_000;
/** The rest is a margin for a prefill that takes longer than expected and for the network to the caller. */
const eventTimeoutShare = 0.75;
export function createPlacementRequest(run: ActiveRun): PlacementRequest {
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
    excludedIds: excludedIds(run),
    preferredId: state.cachedAtServerId,
    softwareVersion: state.resumedVersion ?? relay.softwareVersions()[0],
    signal:
      run.standby === undefined
        ? run.signal
        : AbortSignal.any([run.signal, run.standby.silentRunEnd]),
  };
}

/** Servers that have failed the request, or that it is not to be placed on now. */
export function excludedIds({ state, standby }: StreamRun): ReadonlySet<string> {
  return standby === undefined
    ? state.failedServerIds
    : new Set([...state.failedServerIds, ...standby.avoidedServerIds]);
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
export function eventTimeoutMs({ targetLatencyMs, targetGapMs }: Route): number {
  return eventTimeoutShare * Math.max(minEventTimeoutMs, 4 * targetLatencyMs, 8 * targetGapMs);
}
