/**
 * Has a prompt prefilled: by the prefill engine that is expected to end first or, if that takes long, by the decode
 * engine itself. A local prefill slows the streams on the decode engine, so it does one at a time.
 */
import {
  areEven,
  choosePrefillEngine,
  createRecentQuantile,
  createUnexplainedDelay,
} from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { CallOutcome, PrefillResult } from '../backendApi';
import { stages, type BackendServer } from '../model';
import { createPrefillSpeeds, type PromptResult } from '../fleet/prefillSpeeds';
import { unresponsiveCauses } from '../servers/unresponsiveEngines';
import { attemptCauses, beginFirstPrefill, takeFurtherAttempt } from './furtherAttempts';
import { lostRunCauses, recordLostRun } from './lostRuns';
import {
  maySend,
  noteStep,
  reasonNotToSend,
  remainingMs,
  type NotSendable,
  type RequestState,
} from './requestState';
import type { RouterDependencies } from './routerDependencies';

export type PrefillOutcome =
  | { kind: 'done'; result: PrefillResult }
  /** No prefill engine of its software version is available in time: the decode engine prefills the prompt itself. */
  | { kind: 'at-decode' }
  /** The request may no longer be sent to servers. */
  | { kind: 'withheld'; withheld: NotSendable }
  | { kind: 'failed' };

type PrefillAttempt =
  { kind: 'done'; result: PrefillResult } | { kind: 'failed'; hasArrived: boolean };

export interface Prompt {
  state: RequestState;
  promptTokens: number;
  decodeServer: BackendServer;
  /** Ends the run that the prompt is prefilled for. */
  signal: AbortSignal;
}

export interface PrefillStage {
  run(prompt: Prompt): Promise<PrefillOutcome>;
  /** Expected time of a local prefill on a typical decode engine. */
  localMs(promptTokens: number): number;
  /** Expected time until the prompt is prefilled. */
  expectedMs(serviceName: string, promptTokens: number): number;
}

/** Used until prompts have been measured: the speed of an average engine. */
const initialTokensPerMs = 50;
/** Quantile of the speeds measured on engines without a known queue. */
const speedQuantile = 0.7;
const speedSampleCount = 64;
const speedRefreshInterval = 4;
/** A decode engine prefills at half the speed of a prefill engine. */
const localPrefillSpeedShare = 0.5;
/** If the queue takes this many times longer than a local prefill, slowing the decode engine's streams is worth it. */
const maxQueueFactor = 2;
/** The time-out is this multiple of the expected time, plus a margin for a prompt that arrived just before. */
const timeoutFactor = 3;
const timeoutMarginMs = 400;
/** Time from the end of the prefill to the caller's first event. */
const firstEventMs = 60;

export function createPrefillStage(deps: RouterDependencies): PrefillStage {
  const { backend, pools, engineLoads, health, metrics, limits } = deps;
  const speed = createRecentQuantile({
    quantile: speedQuantile,
    sampleCount: speedSampleCount,
    refreshEvery: speedRefreshInterval,
  });
  /** Prefill time beyond what the known queues account for. */
  const unexplainedDelay = createUnexplainedDelay();

  const speeds = createPrefillSpeeds(deps.speeds.of('prefillSpeed'));

  /** Of a typical engine. */
  const typicalTokensPerMs = () => speed.value() || initialTokensPerMs;
  const typicalLocalMs = (promptTokens: number) =>
    promptTokens / (typicalTokensPerMs() * localPrefillSpeedShare);
  const tokensPerMs = (serverId: string) => typicalTokensPerMs() * speeds.current(serverId);

  function usableServers(serviceName: string): BackendServer[] {
    const ejected = health.ejected(monotonicNowMs());
    return pools
      .usable(serviceName, stages.prefill)
      .filter(({ id }) => !ejected.has(id) && !engineLoads.isUnresponsive(id));
  }

  function chooseServer(
    state: RequestState,
    promptTokens: number,
    decodeServer: BackendServer,
  ): BackendServer | undefined {
    const engines = usableServers(state.service.name)
      .filter((server) => canReadCacheOf(decodeServer, server))
      .filter(({ id }) => !state.failedServerIds.has(id) && limits.mayTake(id))
      .map((server) => ({
        server,
        serverId: server.id,
        backlogTokens: engineLoads.prefillBacklogTokens(server.id),
        learnedSpeed: speeds.learned(server.id),
        currentSpeed: speeds.current(server.id),
      }));
    metrics.countPrefillChoice(areEven(engines) ? 'backlog' : 'expected-end');
    return choosePrefillEngine(engines, { promptTokens, random: deps.random })?.server;
  }

  /** As far as the queue of the engine is known. */
  function queueMs(server: BackendServer, promptTokens: number): number {
    const tokens = engineLoads.prefillBacklogTokens(server.id) + promptTokens;
    return tokens / tokensPerMs(server.id);
  }

  function expectedPrefillMs(server: BackendServer, promptTokens: number): number {
    return queueMs(server, promptTokens) + Math.max(0, unexplainedDelay.meanMs());
  }

  /** Whether the decode engine should prefill the prompt although a prefill engine is available. */
  function shouldPrefillLocally(
    state: RequestState,
    promptTokens: number,
    prefillServer: BackendServer,
    decodeServer: BackendServer,
  ): boolean {
    const localMs = promptTokens / (tokensPerMs(decodeServer.id) * localPrefillSpeedShare);
    const { targetLatencyMs, targetGapMs } = state.route;
    // The other streams on that engine pause meanwhile, so it must not exceed their target gap.
    if (engineLoads.localPrefillCount(decodeServer.id) > 0 || localMs > targetGapMs) {
      return false;
    }
    const availableMs =
      state.request.arrivedAtMs + targetLatencyMs - monotonicNowMs() - firstEventMs;
    const isTooLong = (prefillMs: number) => {
      const isOnlyOnTimeLocally = prefillMs > availableMs && localMs <= availableMs;
      return isOnlyOnTimeLocally || prefillMs > maxQueueFactor * localMs;
    };
    const prefillMs = queueMs(prefillServer, promptTokens);
    if (isTooLong(prefillMs)) {
      return true;
    }
    const isAvoided = isTooLong(prefillMs + Math.max(0, unexplainedDelay.weightedMs()));
    if (isAvoided) {
      unexplainedDelay.noteAvoided();
    }
    return isAvoided;
  }

  /**
   * The first call that an engine accepts is free. Any other counts as a further attempt, and so does a first call that
   * is lost or rejected, as all are while crashed engines have not been detected. Without an attempt left the decode
   * engine prefills locally: its memory is already reserved, and a refusal would waste it.
   */
  function beginCall(
    state: RequestState,
    isRetry: boolean,
  ): ((hasFailed: boolean) => void) | undefined {
    if (!isRetry) {
      return beginFirstPrefill(state, deps);
    }
    const isAllowed = takeFurtherAttempt(state, attemptCauses.prefill, deps);
    return isAllowed ? () => undefined : undefined;
  }

  async function run(prompt: Prompt): Promise<PrefillOutcome> {
    const { state, promptTokens, decodeServer, signal } = prompt;
    let isRetry = state.hasPrefilled;
    while (!signal.aborted) {
      const server = chooseServer(state, promptTokens, decodeServer);
      if (server === undefined || shouldPrefillLocally(state, promptTokens, server, decodeServer)) {
        return { kind: 'at-decode' };
      }
      const endCall = beginCall(state, isRetry);
      if (endCall === undefined) {
        return { kind: 'at-decode' };
      }
      limits.take(server.id);
      const attempt = await prefillAt(server, prompt);
      endCall(attempt.kind === 'failed' && attempt.hasArrived);
      if (attempt.kind === 'done') {
        state.hasPrefilled = true;
        return attempt;
      }
      isRetry = true;
      state.failedServerIds.add(server.id);
      const withheld = reasonNotToSend(state);
      if (withheld !== undefined) {
        return { kind: 'withheld', withheld };
      }
    }
    return { kind: 'failed' };
  }

  async function prefillAt(
    server: BackendServer,
    { state, promptTokens, signal }: Prompt,
  ): Promise<PrefillAttempt> {
    const backlogTokens = engineLoads.prefillBacklogTokens(server.id);
    const expectedMs = expectedPrefillMs(server, promptTokens);
    const timeoutMs = expectedMs * timeoutFactor + timeoutMarginMs;
    const release = engineLoads.beginPrefill(server.id, promptTokens);
    const endPrompt = speeds.begin(server.id, { backlogTokens, promptTokens, expectedMs });
    const startedAtMs = monotonicNowMs();
    state.lastSentAtMs = startedAtMs;
    const outcome = await backend.prefill(server, state.request, {
      remainingMs: remainingMs(state),
      timeoutMs,
      maySend: () => maySend(state),
      signal,
    });
    release();
    const tookMs = monotonicNowMs() - startedAtMs;
    endPrompt(resultOf(outcome, tookMs >= timeoutMs));
    const cause = outcome.kind === 'not-run' ? outcome.cause.kind : outcome.kind;
    if (outcome.kind === 'lost') {
      const { detail, isOurs } = outcome;
      const endedBy = isOurs || signal.aborted ? lostRunCauses.router : lostRunCauses.server;
      recordLostRun({ state, server, startedAtMs, cause: endedBy, detail }, deps);
    }
    noteStep(state, `prefill ${server.id} ${cause} ${Math.round(tookMs)}ms`);
    if (outcome.kind === 'done') {
      engineLoads.noteContact(server.id);
      health.record(server.id, 'success', monotonicNowMs());
      recordTiming(server.id, backlogTokens, promptTokens, tookMs);
      metrics.countPrefillTokens(promptTokens);
      return { kind: 'done', result: outcome.value };
    }
    if (cause === 'other-server') {
      // The listed server has stopped: mark it, so that other routers do not have to detect it themselves.
      engineLoads.noteUnresponsive(server.id, unresponsiveCauses.otherServer);
    }
    if (cause !== 'rejected' && cause !== 'withheld' && !signal.aborted) {
      health.record(server.id, 'failure', monotonicNowMs());
    }
    return { kind: 'failed', hasArrived: cause !== 'unreachable' && cause !== 'withheld' };
  }

  /** Samples of all engines serve for the typical speed, so each is divided by its engine's relative speed. */
  function recordTiming(
    serverId: string,
    backlogTokens: number,
    promptTokens: number,
    tookMs: number,
  ): void {
    if (backlogTokens === 0 && tookMs > 0) {
      speed.observe(promptTokens / tookMs / speeds.learned(serverId));
    }
    unexplainedDelay.observe(tookMs - (backlogTokens + promptTokens) / tokensPerMs(serverId));
  }

  return {
    run,
    localMs: typicalLocalMs,
    expectedMs(serviceName, promptTokens) {
      const expected = usableServers(serviceName).map((server) =>
        expectedPrefillMs(server, promptTokens),
      );
      return Math.min(typicalLocalMs(promptTokens) * maxQueueFactor, ...expected);
    },
  };
}

/** A KV cache is written for the software version that wrote it, and engines do not check that. */
function canReadCacheOf(decodeServer: BackendServer, prefillServer: BackendServer): boolean {
  return prefillServer.softwareVersion === decodeServer.softwareVersion;
}

function resultOf(outcome: CallOutcome<PrefillResult>, hasTimedOut: boolean): PromptResult {
  if (outcome.kind === 'done') {
    return 'done';
  }
  return hasTimedOut ? 'timed-out' : 'failed';
}
