/** Records what a run of a stream tells about its engine and about streams like it. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer, CallerRequest } from '../model';
import type { StreamRun } from './streamRun';

/** Learns from a stream that has ended normally. */
export function noteCompleteRun({ state, deps, relay, size }: StreamRun): void {
  const { streamSizes, metrics } = deps;
  const streamId = streamIdOf(state.request);
  if (streamId !== undefined) {
    deps.originStore.noteComplete(streamId);
  }
  const className = state.route.name;
  const events = relay.eventCount();
  const emittedTokens = streamSizes.emittedTokens(events);
  if (emittedTokens > 0) {
    const { medianOutputTokens } = streamSizes.estimateStream(className, size, 0);
    metrics.observeLengthForecast(state.service.name, medianOutputTokens / emittedTokens);
  }
  streamSizes.observeEnd({ className, size, events, durationMs: relay.eventsDurationMs() });
  // The pause before a resumed stream's first event is not its engine's.
  if (state.sentCount === 1) {
    deps.decodePaces?.noteEnded(relay.pauses());
  }
}

/**
 * A broken connection does not mean that the server is down. It still has the prompt in its cache, so the next attempt
 * prefers it and saves the prefill; after a second break the stream moves to another server.
 */
export function noteBrokenRun(
  { state, deps }: StreamRun,
  serverId: string,
  hasStalled: boolean,
): void {
  if (state.cachedAtServerId === undefined && !hasStalled) {
    state.cachedAtServerId = serverId;
  } else {
    state.cachedAtServerId = undefined;
    state.failedServerIds.add(serverId);
  }
  if (!state.signal.aborted) {
    deps.health.record(serverId, 'failure', monotonicNowMs());
  }
}

/** Another run of the stream may still go on, which this server is not to be chosen for. */
export function noteFailedRun({ state, deps }: StreamRun, serverId: string): void {
  state.failedServerIds.add(serverId);
  deps.health.record(serverId, 'failure', monotonicNowMs());
}

/**
 * Records which software version has begun the stream, once its first event has been passed on. To be called after each
 * chunk of the response, of which the first ones may hold no complete event.
 */
export function noteOrigin({ state, deps, relay }: StreamRun, server: BackendServer): void {
  const streamId = streamIdOf(state.request);
  if (state.hasNotedOrigin || streamId === undefined || relay.softwareVersions().length === 0) {
    return;
  }
  state.hasNotedOrigin = true;
  const { serviceName, softwareVersion } = server;
  const origin = { serviceName, softwareVersion };
  deps.streamOrigins.noteBegan(streamId, origin);
  const { route, request } = state;
  deps.originStore.noteBegan(streamId, origin, { route, request });
}

/** Id of the request that brought the stream's first event; undefined if the caller does not name it. */
function streamIdOf({ lastEventId, resumedRequestId, id }: CallerRequest): string | undefined {
  return lastEventId === undefined ? id : resumedRequestId;
}
