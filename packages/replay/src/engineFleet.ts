/** The engines of a replay as the router's backend servers, with simulated network delays. */
import type { BackendResponse, BackendApi, CallOutcome } from '@bluebellhitch/routing';
import { delay } from '@bluebellhitch/shared';
import type { EngineModel } from './engineModel';

export interface EngineFleetOptions {
  /** By server name. */
  engines: ReadonlyMap<string, EngineModel>;
  /** Output tokens of a request, which neither router nor caller knows in advance. */
  outputTokensOf(requestId: string): number;
  tokensPerEvent: number;
}

export interface ReservationCounts {
  asked: number;
  turnedAway: number;
}

export interface EngineFleet {
  backend: BackendApi;
  reservations: ReservationCounts;
}

const oneWayDelayMs = 1;
/** Time to transfer a prompt's memory from the engine that prefilled it. */
const prefillTransferMs = 2;

const unreachable: CallOutcome<never> = {
  kind: 'not-run',
  cause: { kind: 'unreachable', detail: 'down' },
};
const rejected: CallOutcome<never> = { kind: 'not-run', cause: { kind: 'rejected', status: 503 } };

export function createEngineFleet(options: EngineFleetOptions): EngineFleet {
  const { engines, outputTokensOf, tokensPerEvent } = options;
  const reservations: ReservationCounts = { asked: 0, turnedAway: 0 };

  function findReachable(server: { name: string; id: string }): EngineModel | undefined {
    const engine = engines.get(server.name);
    return engine === undefined || engine.isDown() || engine.server().id !== server.id
      ? undefined
      : engine;
  }

  const backend: BackendApi = {
    async reserve(server, { tokens, lifetimeMs }) {
      reservations.asked += 1;
      await delay(2 * oneWayDelayMs);
      const engine = findReachable(server);
      if (engine === undefined) {
        return unreachable;
      }
      const id = engine.reserve(Math.ceil(tokens), lifetimeMs);
      if (id === undefined) {
        reservations.turnedAway += 1;
        return rejected;
      }
      return { kind: 'done', value: { id, server, tokens } };
    },
    releaseReservation: ({ id, server }) => findReachable(server)?.dropReservation(id),
    async prefill(server, request, { signal, timeoutMs }) {
      await delay(oneWayDelayMs);
      const engine = findReachable(server);
      if (engine === undefined) {
        return unreachable;
      }
      const timeout = new AbortController();
      const timer = setTimeout(() => timeout.abort(), timeoutMs);
      const anySignal = AbortSignal.any([signal, timeout.signal]);
      const promptTokens = request.prompt?.promptTokens ?? 1;
      const handle = await engine.prefill(promptTokens, anySignal);
      clearTimeout(timer);
      await delay(oneWayDelayMs);
      return handle === undefined
        ? { kind: 'lost', detail: 'no answer', isOurs: anySignal.aborted }
        : { kind: 'done', value: { handle, server, tokens: promptTokens } };
    },
    probe: async (server) => (findReachable(server) === undefined ? 'ended' : 'running'),
    releasePrefill: ({ handle, server }) => findReachable(server)?.discardPrefill(handle),
    async run(server, request, { signal, reservation, prefill, lastEventId = 0 }) {
      await delay(oneWayDelayMs);
      const engine = findReachable(server);
      if (engine === undefined) {
        return unreachable;
      }
      if (prefill !== undefined) {
        await delay(prefillTransferMs);
        if (findReachable(prefill.server)?.consumePrefill(prefill.handle) !== true) {
          return rejected;
        }
      }
      const run = engine.run({
        requestId: request.id,
        promptTokens: request.prompt?.promptTokens ?? 1,
        outputTokens: outputTokensOf(request.id),
        emittedTokens: lastEventId * tokensPerEvent,
        reservationId: reservation?.id,
        hasPrompt: prefill !== undefined,
        signal,
      });
      return run === undefined ? rejected : { kind: 'done', value: createResponse(run) };
    },
    async readLoad(server) {
      await delay(2 * oneWayDelayMs);
      const engine = findReachable(server);
      return engine === undefined ? unreachable : { kind: 'done', value: engine.load() };
    },
    orderStage: () => Promise.resolve(rejected),
    readHealth: async (server) => (findReachable(server) === undefined ? 'unknown' : 'healthy'),
    closeIdleConnections: () => undefined,
    close: () => Promise.resolve(),
  };
  return { backend, reservations };
}

function createResponse(run: { read: BackendResponse['body']['read'] }): BackendResponse {
  return {
    status: 200,
    headers: [],
    isSealed: true,
    body: {
      read: run.read,
      pause: () => undefined,
      resume: () => undefined,
      abandon: () => undefined,
    },
  };
}
