/**
 * Has a prompt read: by the prefill engine with the shortest queue, or, where those queues are long, by the
 * decode engine itself, which slows the streams there and so reads one at a time.
 */
import { createRecentQuantile, createRunningEstimate } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { PrefillResult } from './backendApi';
import { stages, type BackendServer } from './model';
import { noteStep, remainingMs, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';

export type PrefillOutcome =
  | { kind: 'done'; result: PrefillResult }
  /** No prefill engine is to be had, or none in time: the decode engine reads the prompt itself. */
  | { kind: 'at-decode' }
  | { kind: 'failed' };

type ReadOutcome =
  { kind: 'done'; result: PrefillResult } | { kind: 'failed'; hasArrived: boolean };

export interface PrefillStage {
  run(
    state: RequestState,
    promptTokens: number,
    decodeServer: BackendServer,
  ): Promise<PrefillOutcome>;
  /** Expected time from now until the prompt is read. */
  expectedMs(serviceName: string, promptTokens: number): number;
}

/** Until prompts have been measured: a middling engine's speed. */
const initialTokensPerMs = 50;
/** Of the speeds seen without a queue of ours, the one that most prompts reach. */
const speedQuantile = 0.7;
const speedSamples = 64;
const speedRefresh = 4;
/** Weight of a new sample of the delay that our own counts do not explain. */
const excessSmoothing = 0.3;
/** A decode engine reads at half the speed of a prefill engine. */
const decodeReadSpeed = 0.5;
/** A queue this many times longer than reading at the decode engine is worth slowing its streams. */
const longQueueFactor = 2;
/** The time-out is this often the expected time, and a margin for a prompt that came just before. */
const patienceFactor = 3;
const patienceMarginMs = 400;
/** From the read prompt to the caller's first event. */
const firstEventMs = 60;

export function createPrefillStage(parts: RouterParts): PrefillStage {
  const { backend, pools, engineLoads, health, budget, metrics, limits } = parts;
  const speed = createRecentQuantile({
    quantile: speedQuantile,
    sampleCount: speedSamples,
    refreshEvery: speedRefresh,
  });
  /** Time that prompts took beyond what the queues that we know of explain. */
  const excessMs = createRunningEstimate({ smoothing: excessSmoothing });

  const tokensPerMs = () => speed.value() || initialTokensPerMs;

  function usableServers(serviceName: string): BackendServer[] {
    const ejected = health.ejected(monotonicNowMs());
    return pools
      .usable(serviceName, stages.prefill)
      .filter(({ id }) => !ejected.has(id) && !engineLoads.isSilent(id));
  }

  function choose(state: RequestState): BackendServer | undefined {
    return usableServers(state.service.name)
      .filter(({ id }) => !state.failedServerIds.has(id) && limits.mayTake(id))
      .map((server) => ({
        server,
        backlog: engineLoads.prefillBacklogTokens(server.id),
        tie: parts.random(),
      }))
      .sort((left, right) => left.backlog - right.backlog || left.tie - right.tie)[0]?.server;
  }

  function expectedPrefillMs(server: BackendServer, promptTokens: number): number {
    const tokens = engineLoads.prefillBacklogTokens(server.id) + promptTokens;
    return tokens / tokensPerMs() + Math.max(0, excessMs.mean());
  }

  /** Whether the decode engine should read the prompt although a prefill engine could. */
  function isBetterAtDecode(
    state: RequestState,
    promptTokens: number,
    prefillServer: BackendServer,
    decodeServer: BackendServer,
  ): boolean {
    const ownMs = promptTokens / (tokensPerMs() * decodeReadSpeed);
    const { targetLatencyMs, targetGapMs } = state.route;
    // The other streams there pause for as long: no longer than is still on time for them.
    if (engineLoads.ownPrompts(decodeServer.id) > 0 || ownMs > targetGapMs) {
      return false;
    }
    const prefillMs = expectedPrefillMs(prefillServer, promptTokens);
    const leftMs = state.request.arrivedAtMs + targetLatencyMs - monotonicNowMs() - firstEventMs;
    const saves = prefillMs > leftMs && ownMs <= leftMs;
    return saves || prefillMs > longQueueFactor * ownMs;
  }

  /**
   * The first call that an engine accepts is free; any other counts as a further attempt, and so does a first one that is
   * lost or turned away, as all are while engines have crashed unnoticed. Without an attempt left the decode engine reads:
   * it has the memory set aside, and a refusal would waste it.
   */
  function mayCall(serviceName: string, isFurther: boolean): boolean {
    const nowMs = monotonicNowMs();
    return isFurther ? budget.tryTake(serviceName, nowMs) : budget.hasLeft(serviceName, nowMs);
  }

  async function run(
    state: RequestState,
    promptTokens: number,
    decodeServer: BackendServer,
  ): Promise<PrefillOutcome> {
    const { name } = state.service;
    let isFurther = state.hasReadPrompt;
    while (!state.signal.aborted) {
      const server = choose(state);
      if (server === undefined || isBetterAtDecode(state, promptTokens, server, decodeServer)) {
        return { kind: 'at-decode' };
      }
      if (!mayCall(name, isFurther)) {
        return { kind: 'at-decode' };
      }
      limits.take(server.id);
      const read = await readAt(server, state, promptTokens);
      if (read.kind === 'done') {
        state.hasReadPrompt = true;
        return read;
      }
      if (read.hasArrived && !isFurther) {
        budget.charge(name, monotonicNowMs());
      }
      isFurther = true;
      state.failedServerIds.add(server.id);
    }
    return { kind: 'failed' };
  }

  async function readAt(
    server: BackendServer,
    state: RequestState,
    promptTokens: number,
  ): Promise<ReadOutcome> {
    const backlogTokens = engineLoads.prefillBacklogTokens(server.id);
    const expectedMs = expectedPrefillMs(server, promptTokens);
    const release = engineLoads.beginPrefill(server.id, promptTokens);
    const startedAtMs = monotonicNowMs();
    const outcome = await backend.prefill(server, state.request, {
      remainingMs: remainingMs(state),
      timeoutMs: expectedMs * patienceFactor + patienceMarginMs,
      signal: state.signal,
    });
    release();
    const tookMs = monotonicNowMs() - startedAtMs;
    noteStep(state, `prefill ${server.id} ${outcome.kind} ${Math.round(tookMs)}ms`);
    if (outcome.kind === 'done') {
      engineLoads.noteContact(server.id);
      health.record(server.id, 'success', monotonicNowMs());
      observe(backlogTokens, promptTokens, tookMs);
      metrics.countPrefillTokens(promptTokens);
      return { kind: 'done', result: outcome.value };
    }
    const cause = outcome.kind === 'not-run' ? outcome.cause.kind : outcome.kind;
    if (cause === 'other-server') {
      // The entry is of a server that is gone: other routers need not find out for themselves.
      engineLoads.noteSilent(server.id);
    }
    if (cause !== 'rejected' && cause !== 'withheld' && !state.signal.aborted) {
      health.record(server.id, 'failure', monotonicNowMs());
    }
    return { kind: 'failed', hasArrived: cause !== 'unreachable' && cause !== 'withheld' };
  }

  function observe(backlogTokens: number, promptTokens: number, tookMs: number): void {
    if (backlogTokens === 0 && tookMs > 0) {
      speed.observe(promptTokens / tookMs);
    }
    excessMs.observe(tookMs - (backlogTokens + promptTokens) / tokensPerMs());
  }

  return {
    run,
    expectedMs(serviceName, promptTokens) {
      const expected = usableServers(serviceName).map((server) =>
        expectedPrefillMs(server, promptTokens),
      );
      const ownMs = promptTokens / (tokensPerMs() * decodeReadSpeed);
      return Math.min(ownMs * longQueueFactor, ...expected);
    },
  };
}
