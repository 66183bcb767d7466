/** Has a prompt read by the prefill engine with the shortest queue. */
import { createRunningEstimate } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { PrefillResult } from './backendApi';
import { stages, type BackendServer } from './model';
import { remainingMs, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';

export type PrefillOutcome =
  | { kind: 'done'; result: PrefillResult }
  /** No prefill engine is to be had, or none in time: the decode engine reads the prompt itself. */
  | { kind: 'at-decode' }
  | { kind: 'failed' };

/** Until prompts have been measured: a middling engine's speed. */
const initialTokensPerMs = 50;
/** The time-out is this often the expected time, and a margin for a prompt that came just before. */
const patienceFactor = 3;
const patienceMarginMs = 400;

export interface PrefillStage {
  run(state: RequestState, promptTokens: number): Promise<PrefillOutcome>;
  /** Expected time from now until the prompt is read. */
  expectedMs(serviceName: string, promptTokens: number): number;
}

export function createPrefillStage(parts: RouterParts): PrefillStage {
  const { backend, directory, engineLoads, health, budget, metrics } = parts;
  /** Lower with a queue before our prompts, which we see only in part. */
  const tokensPerMs = createRunningEstimate({ initialMean: initialTokensPerMs });

  function choose(state: RequestState): BackendServer | undefined {
    const ejected = health.ejected(monotonicNowMs());
    const servers = directory
      .usable(state.service.name, stages.prefill)
      .filter(({ id }) => !ejected.has(id) && !state.failedServerIds.has(id))
      .filter(({ id }) => !engineLoads.isSilent(id));
    return shortestQueue(servers, engineLoads.prefillBacklogTokens, parts.random);
  }

  async function run(state: RequestState, promptTokens: number): Promise<PrefillOutcome> {
    let calls = 0;
    while (!state.signal.aborted) {
      const server = choose(state);
      if (server === undefined) {
        return { kind: 'at-decode' };
      }
      // The first call that an engine accepts is free; any other counts as a further attempt.
      if (calls > 0 && !budget.tryTake(state.service.name, monotonicNowMs())) {
        return { kind: 'failed' };
      }
      calls += 1;
      const outcome = await readAt(server, state, promptTokens);
      if (outcome !== undefined) {
        return { kind: 'done', result: outcome };
      }
      state.failedServerIds.add(server.id);
    }
    return { kind: 'failed' };
  }

  async function readAt(
    server: BackendServer,
    state: RequestState,
    promptTokens: number,
  ): Promise<PrefillResult | undefined> {
    const backlogTokens = engineLoads.prefillBacklogTokens(server.id);
    const release = engineLoads.beginPrefill(server.id, promptTokens);
    const startedAtMs = monotonicNowMs();
    const expectedMs = (backlogTokens + promptTokens) / tokensPerMs.mean();
    const outcome = await backend.prefill(server, state.request, {
      remainingMs: remainingMs(state),
      timeoutMs: expectedMs * patienceFactor + patienceMarginMs,
      signal: state.signal,
    });
    release();
    const tookMs = monotonicNowMs() - startedAtMs;
    state.trail.push(`prefill ${server.id} ${outcome.kind} ${Math.round(tookMs)}ms`);
    if (outcome.kind === 'done') {
      health.record(server.id, 'success', monotonicNowMs());
      tokensPerMs.observe((backlogTokens + promptTokens) / Math.max(1, tookMs));
      metrics.countPrefillTokens(promptTokens);
      return outcome.value;
    }
    const isRejection = outcome.kind === 'not-run' && outcome.cause.kind === 'rejected';
    if (!isRejection && !state.signal.aborted) {
      health.record(server.id, 'failure', monotonicNowMs());
    }
    return undefined;
  }

  return {
    run,
    expectedMs(serviceName, promptTokens) {
      const backlogs = directory
        .usable(serviceName, stages.prefill)
        .map(({ id }) => engineLoads.prefillBacklogTokens(id));
      const shortest = backlogs.length === 0 ? 0 : Math.min(...backlogs);
      return (shortest + promptTokens) / tokensPerMs.mean();
    },
  };
}

/** The server with the least before a new prompt; any of those that are alike. */
function shortestQueue(
  servers: readonly BackendServer[],
  backlogOf: (serverId: string) => number,
  random: () => number,
): BackendServer | undefined {
  return servers
    .map((server) => ({ server, backlog: backlogOf(server.id), tie: random() }))
    .sort((left, right) => left.backlog - right.backlog || left.tie - right.tie)[0]?.server;
}
