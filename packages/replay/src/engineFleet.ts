/** The engines of a replay as the router's backend servers: calls that take a moment on the way. */
import type { BackendResponse, BackendApi, CallOutcome } from '@bluebellhitch/routing';
import { delay } from '@bluebellhitch/shared';
import type { EngineModel } from './engineModel';

export interface EngineFleetOptions {
  /** By server name. */
  engines: ReadonlyMap<string, EngineModel>;
  /** Tokens of a request's answer, which neither router nor caller knows. */
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

/** One way between a router and an engine. */
const wayMs = 1;
/** To fetch a prompt's memory from the engine that read it. */
const transferMs = 2;

const unreachable: CallOutcome<never> = {
  kind: 'not-run',
  cause: { kind: 'unreachable', detail: 'down' },
};
const rejected: CallOutcome<never> = { kind: 'not-run', cause: { kind: 'rejected', status: 503 } };

export function createEngineFleet(options: EngineFleetOptions): EngineFleet {
  const { engines, outputTokensOf, tokensPerEvent } = options;
  const reservations: ReservationCounts = { asked: 0, turnedAway: 0 };

  function reach(server: { name: string; id: string }): EngineModel | undefined {
    const engine = engines.get(server.name);
    return engine === undefined || engine.isDown() || engine.server().id !== server.id
      ? undefined
      : engine;
  }

  const backend: BackendApi = {
    async reserve(server, { tokens, lifetimeMs }) {
      reservations.asked += 1;
      await delay(2 * wayMs);
      const engine = reach(server);
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
    releaseReservation: ({ id, server }) => reach(server)?.dropReservation(id),
    async prefill(server, request, { signal, timeoutMs }) {
      await delay(wayMs);
      const engine = reach(server);
      if (engine === undefined) {
        return unreachable;
      }
      const givenUp = new AbortController();
      const timer = setTimeout(() => givenUp.abort(), timeoutMs);
      const either = AbortSignal.any([signal, givenUp.signal]);
      const promptTokens = request.prompt?.promptTokens ?? 1;
      const handle = await engine.prefill(promptTokens, either);
      clearTimeout(timer);
      await delay(wayMs);
      return handle === undefined
        ? { kind: 'lost', detail: 'no answer', isOurs: either.aborted }
        : { kind: 'done', value: { handle, server, tokens: promptTokens } };
    },
    releasePrefill: ({ handle, server }) => reach(server)?.dropPrefill(handle),
    async run(server, request, { signal, reservation, prefill, lastEventId = 0 }) {
      await delay(wayMs);
      const engine = reach(server);
      if (engine === undefined) {
        return unreachable;
      }
      if (prefill !== undefined) {
        await delay(transferMs);
        if (reach(prefill.server)?.takePrefill(prefill.handle) !== true) {
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
      return run === undefined ? rejected : { kind: 'done', value: answerOf(run) };
    },
    async readLoad(server) {
      await delay(2 * wayMs);
      const engine = reach(server);
      return engine === undefined ? unreachable : { kind: 'done', value: engine.load() };
    },
    orderStage: () => Promise.resolve(rejected),
    closeIdleConnections: () => undefined,
    close: () => Promise.resolve(),
  };
  return { backend, reservations };
}

function answerOf(run: { read: BackendResponse['body']['read'] }): BackendResponse {
  return {
    status: 200,
    headers: [],
    isSealed: true,
    body: { read: run.read, pause: () => undefined, resume: () => undefined },
  };
}
