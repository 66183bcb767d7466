/** One run of a stream: reserves decode memory, has the prompt prefilled, then relays the decoded events. */
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendResponse, PrefillResult } from '../backendApi';
import type { Placement, PlacementOutcome } from '../servers/decodePlacement';
import {
  notRunReasons,
  type BackendServer,
  type EngineSettings,
  type NotRunReason,
  type PromptSize,
} from '../model';
import type { AttemptInReserve } from './furtherAttempts';
import { placeForLocalPrefill } from './localPrefillPlacement';
import type { PrefillOutcome, PrefillStage } from './prefillStage';
import { lostRunCauses, noteEventTime, recordLostRun, type EventTimes } from './lostRuns';
import { createPlacementRequest, excludedIds } from './runPlacement';
import { watchRun, type RunWatch } from './runWatch';
import type { Contender, RunContest } from './runContest';
import { noteStep, reasonNotToSend, type NotSendable, type RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';
import { createRunObserver } from './runObserver';
import { noteBrokenRun, noteCompleteRun, noteFailedRun, noteOrigin } from './runResults';
import { sendRun } from './sendRun';
import { isStream, type StreamRelay } from './streamRelay';
import { releaseUnsent, releaseUnused } from './unusedMemory';

export type RunOutcome =
  /** The caller has its final response. */
  | { kind: 'ended' }
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs?: number }
  /** The server has answered with a failure, which is passed on unless another run goes on. */
  | { kind: 'failed'; detail: string }
  /** The server may have done work; the stream may continue on another server. */
  | { kind: 'broken'; detail: string }
  /** Another run of the request goes on. */
  | { kind: 'superseded' };

export interface StreamRun {
  state: RequestState;
  engine: EngineSettings;
  deps: RouterDependencies;
  prefillStage: PrefillStage;
  relay: StreamRelay;
  size: PromptSize;
  /** All runs of the request that are in progress. */
  contest: RunContest;
  /** The further attempt that this run uses when it is sent; undefined for a request's first run. */
  attempt?: AttemptInReserve;
  /** Set for a run beside one that is silent. */
  standby?: StandbyRole;
}

export interface StandbyRole {
  /** The servers that are silent, and still run the stream. */
  avoidedServerIds: readonly string[];
  /** Aborts when its run has ended: the stream need not wait for memory elsewhere any more. */
  silentRunEnd: AbortSignal;
}

/** A run in progress. */
export interface ActiveRun extends StreamRun {
  contender: Contender;
  /** Ends the run: at the request's end, and when another run goes on. */
  signal: AbortSignal;
  onSilent(serverId: string, silentMs: number): void;
}

/**
 * A run beside a silent one goes on alone this long after its response has begun, even without an event: two servers must
 * not work on one stream for long.
 */
const maxParallelMs = 250;

/** Places the stream on an engine and runs it there. */
export async function runPlaced(run: ActiveRun): Promise<RunOutcome> {
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

async function placeRun(run: ActiveRun): Promise<PlacementOutcome> {
  const { state, deps } = run;
  const startedAtMs = monotonicNowMs();
  const outcome = await deps.placement.place(createPlacementRequest(run));
  const waitedMs = monotonicNowMs() - startedAtMs;
  deps.metrics.observePlacement(state.service.name, waitedMs);
  noteStep(state, `${outcome.kind} ${Math.round(waitedMs)}ms`);
  return outcome;
}

/** Has the prompt prefilled and decodes it in the reserved memory; releases what stays unused. */
async function runAt(run: ActiveRun, placement: Placement): Promise<RunOutcome> {
  const { state, prefillStage, size, signal } = run;
  const { server } = placement.reservation;
  const withheld = reasonNotToSend(state);
  if (withheld !== undefined) {
    releaseUnused(run, placement, undefined);
    return { kind: 'not-run', ...withheld };
  }
  const prefill: PrefillOutcome =
    server.id === state.cachedAtServerId
      ? { kind: 'at-decode' }
      : await prefillStage.run({
          ...{ state, promptTokens: size.promptTokens, decodeServer: server, signal },
        });
  if (prefill.kind === 'withheld') {
    releaseUnused(run, placement, undefined);
    return { kind: 'not-run', ...prefill.withheld };
  }
  if (prefill.kind === 'failed' || signal.aborted) {
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
function placeForPrefill(run: ActiveRun, placement: Placement): Promise<Placement> {
  const { state, deps, prefillStage, size } = run;
  const prefill = { state, deps, localMs: prefillStage.localMs(size.promptTokens) };
  return placeForLocalPrefill(prefill, placement, (otherIds) =>
    deps.placement.place({
      ...createPlacementRequest(run),
      excludedIds: new Set([...excludedIds(run), ...otherIds]),
      ...{ preferredId: undefined, isImmediate: true },
    }),
  );
}

async function decodePrefilled(
  run: ActiveRun,
  placement: Placement,
  result: PrefillResult | undefined,
): Promise<RunOutcome> {
  const { deps, size } = run;
  const { server } = placement.reservation;
  if (run.signal.aborted) {
    releaseUnused(run, placement, result);
    return { kind: 'not-run', reason: notRunReasons.noCapacity };
  }
  const withheld = reasonNotToDecode(run, server);
  if (withheld !== undefined) {
    releaseUnused(run, placement, result);
    return { kind: 'not-run', ...withheld };
  }
  if (run.attempt?.use() === false) {
    releaseUnused(run, placement, result);
    return { kind: 'not-run', reason: notRunReasons.noCapacity };
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

async function decode(
  run: ActiveRun,
  placement: Placement,
  prefill: PrefillResult | undefined,
): Promise<RunOutcome> {
  const restarted = new AbortController();
  const watch = watchRun(run, placement.reservation.server, () => restarted.abort());
  try {
    return await decodeWatched(run, placement, prefill, { signal: restarted.signal, watch });
  } finally {
    watch.stop();
  }
}

async function decodeWatched(
  run: ActiveRun,
  { reservation, stream }: Placement,
  prefill: PrefillResult | undefined,
  { signal, watch }: { signal: AbortSignal; watch: RunWatch },
): Promise<RunOutcome> {
  const { state, deps, relay, contender } = run;
  const { server } = reservation;
  const startedAtMs = monotonicNowMs();
  const eventTimes: EventTimes = {};
  const breakRun = (detail: string): RunOutcome => {
    const isOurs = signal.aborted || run.signal.aborted;
    const cause = isOurs ? lostRunCauses.router : lostRunCauses.server;
    const reason = contender.signal.aborted ? 'another run goes on' : detail;
    recordLostRun({ state, server, startedAtMs, cause, detail: reason, ...eventTimes }, deps);
    const hasStalled = signal.aborted || (run.signal.aborted && watch.isSilent());
    // A run that was only to replace a silent one shows nothing of its server.
    if (!contender.signal.aborted || hasStalled) {
      noteBrokenRun(run, server.id, hasStalled);
    }
    return { kind: 'broken', detail };
  };
  if (prefill === undefined) {
    noteStep(state, 'prompt at decode');
  }
  const outcome = await sendRun(server, state, deps, {
    signal: AbortSignal.any([run.signal, signal]),
    ...{ reservation, prefill },
    lastEventId: relay.lastEventId(),
  });
  if (outcome.kind === 'not-run') {
    state.sentCount -= 1;
    noteStep(state, `decode ${server.id} ${outcome.cause.kind}`);
    state.failedServerIds.add(server.id);
    if (outcome.cause.kind === 'unreachable' || outcome.cause.kind === 'withheld') {
      releaseUnsent(run, reservation, prefill);
    }
    return { kind: 'not-run', reason: notRunReasons.rejected };
  }
  if (outcome.kind === 'lost') {
    return breakRun(outcome.detail);
  }
  noteStep(state, `decode ${server.id} ${outcome.value.status}`);
  const endParallel = limitParallelRuns(run, outcome.value);
  const observer = createRunObserver(run, server.id);
  const { identity, request } = state;
  const observedRun = deps.quarantine.observeRun({
    ...{ identity, requestId: request.id, server, startedAtMs },
  });
  const relayed = await relay.relay({
    response: outcome.value,
    softwareVersion: server.softwareVersion,
    contender,
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
  endParallel();
  if (relayed.kind === 'whole') {
    observedRun.noteCompleted();
    noteCompleteRun(run);
    deps.health.record(server.id, 'success', monotonicNowMs());
    return { kind: 'ended' };
  }
  if (relayed.kind === 'failed') {
    observedRun.noteCompleted();
    noteFailedRun(run, server.id);
    return relayed;
  }
  return breakRun(relayed.detail);
}

/**
 * Lets a run beside a silent one go on alone after a while, unless it has failed; call the result when the run has ended.
 */
function limitParallelRuns(
  { standby, contender }: ActiveRun,
  response: BackendResponse,
): () => void {
  if (standby === undefined || !isStream(response)) {
    return () => undefined;
  }
  const timer = setTimeout(() => contender.claim(), maxParallelMs);
  return () => clearTimeout(timer);
}
