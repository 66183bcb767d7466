/**
 * Callers as on the platform: each keeps its connection to a router until that is closed or broken, then connects to a
 * router that the balancer chooses. Callers do not retry requests, but may take up broken streams again.
 */
import { Agent } from 'node:http';
import {
  callRouter,
  type CallerDepartures,
  type CallOutcome,
} from '@bluebellhitch/platform-standins';
import { routeKinds, type Route } from '@bluebellhitch/routing';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';
import { callersHost } from './configurationPlan';
import { repeatingWorkspace, type Keyring } from './keyring';
import type { Ledger, RequestOutcome, SentRequest } from './ledger';
import type { RouterProcessHandle } from './routerFleet';
import { streamEvents } from './serverSlots';
import { lastEventId, wasConnected } from './streamVersionChecks';

export interface CallersOptions {
  count: number;
  routers: readonly RouterProcessHandle[];
  routes: readonly Route[];
  ledger: Ledger;
  random: Random;
  keyring: Keyring;
  departures: Pick<CallerDepartures, 'noteLeft'>;
  /** Takes up broken streams again, at any router, and breaks some of them off for that. */
  resumesStreams?: boolean;
  /** Gives up a stream that has begun once it has brought nothing for as long as the users' callers wait. */
  leavesSilentStreams?: boolean;
  onResumed?(request: SentRequest): void;
  onEnded(request: SentRequest): void;
}

export interface Callers {
  loops: readonly BackgroundLoop[];
  /** Multiplies the callers' request rate. */
  setFactor(factor: number): void;
  /** Sends a probe on a connection of its own. */
  probe(router: RouterProcessHandle, route: Route, target: string): Promise<SentRequest>;
  /**
   * Sends a request with this body on a connection of its own, always with the same path and workspace; undefined if no router
   * runs. In streams, the further parts follow the part that all prompts share.
   */
  repeat(
    route: Route,
    body: string,
    furtherParts?: readonly string[],
  ): Promise<SentRequest | undefined>;
}

/** Mean pause of a caller between a response and its next request. */
const meanPauseMs = 120;
const disconnectShare = 0.04;
const maxDisconnectMs = 150;
/** Callers give up a router that does not read their requests, after about a third of the time that they have. */
const patienceMs = 400;
/** A stream that has begun is given up after a gap of the longest of this, four objectives and eight pauses. */
const minGapPatienceMs = 2_000;
const maxResumptions = 3;
/** So long does a caller look for a router that takes its connection. */
const maxReconnectMs = 10_000;
/** Share of resumable streams that their callers break off. */
const breakOffShare = 0.3;
const resumptionPauseMs = 50;
/** Statuses that promise that the request has not run and will not. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503];
const prompt = { promptTokens: 1_000, maxOutputTokens: 100 };
/** The part that all prompts begin with. */
const firstPart = 'c0';
/** Tokens that a model request counts against a quota. */
export const modelTokens = prompt.promptTokens + prompt.maxOutputTokens;
const msPerSecond = 1_000;

interface CallOptions {
  /** Without one the call is a probe on a connection of its own. */
  agent?: Agent;
  disconnectAfterMs?: number;
  /** Leaves once so many parts of the response have arrived. */
  leaveAfterParts?: number;
  body?: string;
  /** Parts of the prompt that other requests share. */
  sharedParts?: readonly string[];
  /** The stream to take up. */
  resumes?: SentRequest['resumes'];
}

interface Connection {
  router: RouterProcessHandle;
  agent: Agent;
}

export function createCallers(options: CallersOptions): Callers {
  const { ledger, random, routers, keyring } = options;
  let factor = 1;
  let requestCount = 0;

  const chooseKey = (isProbe: boolean) => (isProbe ? keyring.chooseValid() : keyring.choose());

  function startRequest(
    router: RouterProcessHandle,
    route: Route,
    { agent, body, resumes }: CallOptions,
  ): SentRequest {
    const isProbe = agent === undefined;
    requestCount += 1;
    return ledger.recordRequest({
      id: `q${requestCount}`,
      routerName: router.name,
      routeName: route.name,
      routeKind: route.kind,
      isRepeatable: route.kind === routeKinds.idempotent || route.allowsResume,
      timeoutMs: route.timeoutMs,
      isProbe,
      isCrashing: body !== undefined,
      resumes,
      shownKey: body === undefined ? chooseKey(isProbe) : keyring.chooseValid(repeatingWorkspace),
    });
  }

  async function call(
    router: RouterProcessHandle,
    route: Route,
    target: string,
    callOptions: CallOptions,
  ): Promise<{ request: SentRequest; keepsConnection: boolean }> {
    const { agent, disconnectAfterMs, body, sharedParts = [firstPart] } = callOptions;
    const request = startRequest(router, route, callOptions);
    if (callOptions.resumes !== undefined) {
      options.onResumed?.(request);
    }
    const disconnect = new AbortController();
    const leave = () => {
      options.departures.noteLeft(request.id);
      disconnect.abort();
    };
    const timer =
      disconnectAfterMs === undefined
        ? setTimeout(() => router.isHeldUp() && leave(), patienceMs)
        : setTimeout(leave, disconnectAfterMs);
    let gapTimer: NodeJS.Timeout | undefined;
    const restartGap = () => {
      clearTimeout(gapTimer);
      gapTimer = setTimeout(leave, gapPatienceMs(route));
    };
    let partCount = 0;
    const leaveAtPart = () => {
      partCount += 1;
      if (partCount === callOptions.leaveAfterParts) {
        // Not within the call that delivers the part.
        setImmediate(leave);
      }
    };
    const watchesGaps = options.leavesSilentStreams === true && route.kind === routeKinds.stream;
    const outcome = await callRouter({
      address: router.callersAddress,
      host: callersHost,
      target,
      requestId: request.id,
      deadlineMs: route.timeoutMs,
      prompt:
        route.kind === routeKinds.stream
          ? { ...prompt, parts: [...sharedParts, ownPartOf(request)] }
          : undefined,
      headers: {
        authorization: `Token ${request.shownKey.key}`,
        ...resumptionHeaders(callOptions.resumes),
      },
      signal: disconnect.signal,
      agent,
      body,
      onData: watchesGaps ? restartGap : leaveAtPart,
    });
    clearTimeout(timer);
    clearTimeout(gapTimer);
    request.endedAtMs = monotonicNowMs();
    request.end = disconnect.signal.aborted ? leftOutcome(outcome) : resolveOutcome(outcome);
    options.onEnded(request);
    return { request, keepsConnection: !disconnect.signal.aborted && keepsConnection(outcome) };
  }

  function connect(): Connection | undefined {
    const inRotation = routers.filter((router) => router.isInRotation());
    // With no router in rotation the balancer uses all of them.
    const usable = inRotation.length > 0 ? inRotation : routers.filter((one) => one.isRunning());
    const router = usable[Math.floor(random() * usable.length)];
    return router && { router, agent: new Agent({ keepAlive: true, maxSockets: 1 }) };
  }

  /** Takes the stream up at any router, as often as it brings further events, or is refused for the first time. */
  async function resumeStream(broken: SentRequest, route: Route, target: string): Promise<void> {
    let resumes = options.resumesStreams === true ? resumptionOf(broken, route) : undefined;
    const endsAtMs = monotonicNowMs() + maxReconnectMs;
    let tries = 0;
    while (resumes !== undefined && tries < maxResumptions && monotonicNowMs() < endsAtMs) {
      await delay(resumptionPauseMs);
      const connection = connect();
      if (connection === undefined) {
        return;
      }
      const { router, agent } = connection;
      const { request } = await call(router, route, target, { agent, resumes });
      agent.destroy();
      tries += wasConnected(request) ? 1 : 0;
      const isOver = request.end?.kind === 'whole' || request.end?.kind === 'caller-left';
      resumes = isOver ? undefined : (resumptionOf(request, route) ?? resumes);
    }
  }

  const breaksOff = ({ allowsResume }: Route) =>
    options.resumesStreams === true && allowsResume && random() < breakOffShare;

  function createCaller(): BackgroundLoop {
    return createBackgroundLoop(async (signal) => {
      let connection: Connection | undefined;
      while (!signal.aborted) {
        await delay((-Math.log(1 - random()) * meanPauseMs) / factor, signal);
        connection ??= connect();
        if (connection !== undefined && !signal.aborted) {
          const route = options.routes[Math.floor(random() * options.routes.length)] as Route;
          const disconnectAfterMs =
            random() < disconnectShare ? random() * maxDisconnectMs : undefined;
          const leaveAfterParts = breaksOff(route)
            ? 1 + Math.floor(random() * (streamEvents - 1))
            : undefined;
          const { router, agent } = connection;
          const target = `${route.pathPrefix}${requestCount}`;
          const { request, keepsConnection: isKept } = await call(router, route, target, {
            agent,
            ...{ disconnectAfterMs, leaveAfterParts },
          });
          await resumeStream(request, route, target);
          if (!isKept) {
            agent.destroy();
            connection = undefined;
          }
        }
      }
      connection?.agent.destroy();
    });
  }

  return {
    loops: Array.from({ length: options.count }, createCaller),
    setFactor(next) {
      factor = next;
    },
    probe: async (router, route, target) => (await call(router, route, target, {})).request,
    async repeat(route, body, furtherParts = []) {
      const connection = connect();
      if (connection === undefined) {
        return undefined;
      }
      const { router, agent } = connection;
      const target = `${route.pathPrefix}repeated`;
      const { request } = await call(router, route, target, {
        ...{ agent, body },
        sharedParts: [firstPart, ...furtherParts],
      });
      agent.destroy();
      return request;
    },
  };
}

function gapPatienceMs({ targetLatencyMs, targetGapMs }: Route): number {
  return Math.max(minGapPatienceMs, 4 * targetLatencyMs, 8 * targetGapMs);
}

/** What a caller of a broken stream takes up; undefined if it has none or all of its events, or may not take it up. */
function resumptionOf(
  { id, end, resumes }: SentRequest,
  { allowsResume }: Route,
): SentRequest['resumes'] {
  const isCut = end?.kind === 'broken' || end?.kind === 'caller-left';
  const afterEvent = isCut ? lastEventId(end.body ?? '') : 0;
  return allowsResume && afterEvent > 0 && afterEvent < streamEvents
    ? { streamId: resumes?.streamId ?? id, afterEvent }
    : undefined;
}

function resumptionHeaders(resumes: SentRequest['resumes']): Record<string, string> {
  return resumes === undefined
    ? {}
    : { 'last-event-id': String(resumes.afterEvent), resumes: resumes.streamId };
}

function keepsConnection(outcome: CallOutcome): boolean {
  return (
    outcome.kind === 'answered' &&
    outcome.response.isComplete &&
    outcome.response.headers.connection !== 'close'
  );
}

function leftOutcome(outcome: CallOutcome): RequestOutcome {
  const { status, body } = outcome.kind === 'answered' ? outcome.response : {};
  return { kind: 'caller-left', status, body };
}

function resolveOutcome(outcome: CallOutcome): RequestOutcome {
  if (outcome.kind === 'no-answer') {
    return outcome;
  }
  const { status, body, isSealed, isComplete, headers } = outcome.response;
  if (!isComplete) {
    return { kind: 'broken', status, body };
  }
  if (isSealed) {
    return { kind: 'whole', status, body };
  }
  if (!notRunStatuses.includes(status)) {
    return { kind: 'failed', status };
  }
  const seconds = Number(headers['retry-after']);
  const retryAfterMs = Number.isFinite(seconds) ? seconds * msPerSecond : undefined;
  return { kind: 'refused', status, retryAfterMs };
}

/** The last part of a prompt is the request's own. */
function ownPartOf({ id }: SentRequest): string {
  return Buffer.from(id).toString('hex');
}
