/** Checks of single requests, made as each ends or reaches a server, and once more at the end of a run. */
import { routeKinds } from '@bluebellhitch/routing';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import { failureText } from '@bluebellhitch/platform-standins';
import { eventText, plainText, streamEvents, type BackendServers } from './backendServers';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Arrival, Ledger, SentRequest } from './ledger';
import type { WorkspaceChecks } from './workspaceChecks';

export interface RequestChecksOptions {
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  servers: () => BackendServers | undefined;
  workspaces: WorkspaceChecks;
  drainMs: number;
  /** Added to every bound: the way over loopback, and a busy machine. */
  marginMs: number;
}

export interface RequestChecks {
  onArrival(arrival: Arrival): void;
  onEnded(request: SentRequest): void;
  /** What only the end of a run shows: refused requests that ran later, and those never answered. */
  checkAll(): void;
}

/** From a route's time-out to its last word; from a caller's leaving to the end of its work. */
const lastWordMs = 500;
const mostAttempts = 2;
const okStatus = 200;
const notFoundStatus = 404;
const unknownKeyStatus = 401;
/** A connection that ends this soon after it was opened may have crossed the process's end. */
const crossingMs = 200;

export function createRequestChecks(options: RequestChecksOptions): RequestChecks {
  const { ledger, findings, disruptions, marginMs } = options;

  function checkRuns(request: SentRequest): void {
    const runs = ledger.runCount(request.id);
    const most = request.isRepeatable ? mostAttempts : 1;
    if (runs > most) {
      const detail = `${request.routeName} ran ${runs} times, ${most} allowed`;
      findings.add(promises.atMostOnce, detail, request.id);
    }
  }

  function checkRefusal(request: SentRequest): void {
    const { end } = request;
    if (end?.kind !== 'refused' || request.isRepeatable) {
      return;
    }
    if (ledger.runCount(request.id) > 0) {
      findings.add(promises.trueRefusal, `${end.status}, and it has run`, request.id);
    }
  }

  function checkDrain(arrival: Arrival, request: SentRequest): void {
    const leavingSinceMs = options.servers()?.leavingSinceMs(arrival.serverId);
    if (leavingSinceMs === undefined) {
      return;
    }
    const lateMs = arrival.atMs - leavingSinceMs - options.drainMs;
    if (
      lateMs > marginMs &&
      disruptions.isInTouch(request.routerName, leavingSinceMs, arrival.atMs)
    ) {
      const detail = `${request.routerName} sent to ${arrival.serverId} ${Math.round(lateMs)} ms late`;
      findings.add(promises.drain, detail, request.id);
    }
  }

  function checkLeft(arrival: Arrival, request: SentRequest): void {
    const { end, endedAtMs = Infinity } = request;
    if (end?.kind !== 'caller-left') {
      return;
    }
    const lateMs = arrival.atMs - endedAtMs - lastWordMs;
    // A link that let nothing through delivers once it is whole what was sent before the caller left.
    const wasHeldUp = disruptions.isServerDisturbed(
      arrival.serverId,
      request.sentAtMs,
      arrival.atMs,
    );
    const isInTouch = disruptions.isInTouch(request.routerName, endedAtMs, arrival.atMs);
    if (lateMs > marginMs && isInTouch && !wasHeldUp) {
      findings.add(promises.inTime, 'sent to a server after its caller had left', request.id);
    }
  }

  function checkTime(request: SentRequest, endedAtMs: number): void {
    const lateMs = endedAtMs - request.sentAtMs - request.timeoutMs - lastWordMs;
    if (
      lateMs > marginMs &&
      disruptions.isInTouch(request.routerName, request.sentAtMs, endedAtMs)
    ) {
      findings.add(promises.inTime, `${Math.round(lateMs)} ms after its last moment`, request.id);
    }
  }

  function checkAnswer(request: SentRequest, body: string, status: number): void {
    if (!wholeBodies(request, status).includes(body)) {
      const detail = `${status} with another body: ${JSON.stringify(body.slice(0, 80))}`;
      findings.add(promises.wholeAnswer, detail, request.id);
    }
  }

  /** What the servers that the request reached would have answered with this status. */
  function wholeBodies({ id, routeKind }: SentRequest, status: number): string[] {
    const serverIds = ledger.arrivalsOf(id).map(({ serverId }) => serverId);
    if (status !== okStatus) {
      return serverIds.map(failureText);
    }
    return routeKind === routeKinds.stream
      ? [wholeStream(id)]
      : serverIds.map((serverId) => plainText(id, serverId));
  }

  /** With only planned work about, no request may end without its answer. */
  function checkCalm(request: SentRequest, detail: string): void {
    if (disruptions.isCalm(request.sentAtMs, request.endedAtMs ?? monotonicNowMs())) {
      findings.add(promises.leaving, `${request.routerName}: ${detail}`, request.id);
    }
  }

  function checkNoAnswer(request: SentRequest, isNewConnection: boolean, detail: string): void {
    const tookMs = (request.endedAtMs ?? 0) - request.sentAtMs;
    const wasPassedOn = ledger.arrivalsOf(request.id).length > 0;
    // A request on a kept connection may cross the router's close, one on a new one its end.
    if (wasPassedOn || (isNewConnection && tookMs > crossingMs + marginMs)) {
      checkCalm(request, `no answer: ${detail}`);
    }
  }

  function checkFailed(request: SentRequest, status: number): void {
    if (status === unknownKeyStatus) {
      options.workspaces.onUnknownKey(request);
      return;
    }
    if (status === notFoundStatus && request.isProbe) {
      return;
    }
    if (status === notFoundStatus) {
      findings.add(promises.configuration, `404 on ${request.routeName}`, request.id);
    }
    checkCalm(request, `failed with ${status}`);
  }

  function checkEnd(request: SentRequest): void {
    const { end } = request;
    switch (end?.kind) {
      case undefined:
      case 'caller-left':
        return;
      case 'whole':
        checkAnswer(request, end.body, end.status);
        return;
      case 'refused':
        checkRefusal(request);
        return;
      case 'failed':
        checkFailed(request, end.status);
        return;
      case 'broken':
        checkCalm(request, `broken answer ${end.status}`);
        return;
      case 'no-answer':
        checkNoAnswer(request, end.isNewConnection, end.detail);
        return;
      default:
        assertNever(end);
    }
  }

  return {
    onArrival(arrival) {
      const request = ledger.request(arrival.requestId);
      if (request === undefined) {
        findings.add(promises.wholeAnswer, 'a request that no caller sent', arrival.requestId);
        return;
      }
      checkRuns(request);
      checkDrain(arrival, request);
      checkLeft(arrival, request);
      options.workspaces.onArrival(arrival, request);
    },
    onEnded(request) {
      checkTime(request, request.endedAtMs ?? monotonicNowMs());
      checkEnd(request);
    },
    checkAll() {
      const nowMs = monotonicNowMs();
      [...ledger.requests()].forEach((request) => {
        checkRefusal(request);
        if (request.end === undefined) {
          checkTime(request, nowMs);
        }
      });
    },
  };
}

function wholeStream(requestId: string): string {
  return Array.from({ length: streamEvents }, (_none, index) => index + 1)
    .map((event) => `id: ${event}\ndata: ${eventText(requestId, event)}\n\n`)
    .join('');
}
