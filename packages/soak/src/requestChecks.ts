/** Checks of single requests: when they end, when they reach a server, and again at the end of a run. */
import { routeKinds } from '@bluebellhitch/routing';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import { failureText, type CallerDepartures } from '@bluebellhitch/platform-standins';
import type { BackendServers } from './backendServers';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Arrival, Ledger, SentRequest } from './ledger';
import { eventText, plainText, streamEvents, streamVersions } from './serverSlots';
import { gatewayStatuses, type Silences } from './silences';
import type { WorkspaceChecks } from './workspaceChecks';

export interface RequestChecksOptions {
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  servers: () => BackendServers | undefined;
  workspaces: WorkspaceChecks;
  departures: Pick<CallerDepartures, 'lateArrivals'>;
  silences: Pick<Silences, 'wasForwarded' | 'met' | 'isExcused' | 'unreadAt'>;
  drainMs: number;
  /** Added to every time limit, for loopback latency and a busy machine. */
  marginMs: number;
}

export interface RequestChecks {
  onArrival(arrival: Arrival): void;
  onEnded(request: SentRequest): void;
  /** Checks that need the whole run: requests that ran after a refusal, and those without any outcome. */
  checkAll(): void;
}

/** From a route's time-out to the end of its response; from a caller's disconnect to the end of work for it. */
const responseGraceMs = 500;
/** More than a few late arrivals break the promise. */
const maxLateArrivals = 3;
const maxAttempts = 2;
const okStatus = 200;
const notFoundStatus = 404;
const unknownKeyStatus = 401;
/** A connection that ends within this time after opening may have coincided with the end of the process. */
const crossingMs = 200;

export function createRequestChecks(options: RequestChecksOptions): RequestChecks {
  const { ledger, findings, disruptions, silences, marginMs } = options;

  function checkRuns(request: SentRequest): void {
    const runs = ledger.runCount(request.id);
    const maxRuns = request.isRepeatable ? maxAttempts : 1;
    if (runs > maxRuns) {
      const detail = `${request.routeName} ran ${runs} times, ${maxRuns} allowed`;
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
      return;
    }
    const serverId = silences.unreadAt(request.id);
    if (serverId !== undefined && hadOnlyPlannedWork(request)) {
      const detail = `${end.status}, and ${serverId} was silent and could run it yet`;
      findings.add(promises.trueRefusal, detail, request.id);
    }
  }

  function checkDrain(arrival: Arrival, request: SentRequest): void {
    const leavingSinceMs = options.servers()?.leavingSinceMs(arrival.serverId);
    if (leavingSinceMs === undefined) {
      return;
    }
    const lateMs = arrival.atMs - leavingSinceMs - options.drainMs;
    // A router that could not see the server leave must know of it once it has been in contact for the contact time.
    const contactFromMs = arrival.atMs - marginMs;
    if (
      lateMs > marginMs &&
      disruptions.hadContact(request.routerName, contactFromMs, arrival.atMs)
    ) {
      const detail = `${request.routerName} sent to ${arrival.serverId} ${Math.round(lateMs)} ms late`;
      findings.add(promises.drain, detail, request.id);
    }
  }

  function checkDisconnectedCaller(arrival: Arrival, request: SentRequest): void {
    const { end, endedAtMs = Infinity } = request;
    if (end?.kind !== 'caller-left') {
      return;
    }
    const lateMs = arrival.atMs - endedAtMs - responseGraceMs;
    // A link that was blocked delivers what was sent before the caller disconnected once the fault ends.
    const wasLinkDisturbed = disruptions.isServerDisturbed(
      arrival.serverId,
      request.sentAtMs,
      arrival.atMs,
    );
    const hadContact = disruptions.hadContact(request.routerName, endedAtMs, arrival.atMs);
    if (lateMs > marginMs && hadContact && !wasLinkDisturbed) {
      findings.add(promises.inTime, 'sent to a server after its caller had left', request.id);
    }
  }

  /** At all routers, in contact or not: what a router that was held up finds unread includes its callers' ends. */
  function checkDepartures(): void {
    const late = options.departures
      .lateArrivals(responseGraceMs + marginMs)
      .filter(({ requestId, serverId, arrivedAtMs }) => {
        const sentAtMs = ledger.request(requestId)?.sentAtMs ?? arrivedAtMs;
        return !disruptions.isServerDisturbed(serverId, sentAtMs, arrivedAtMs);
      });
    if (late.length > maxLateArrivals) {
      const detail = `${late.length} requests reached servers after their callers had left`;
      findings.add(promises.inTime, detail, late[0]?.requestId);
    }
  }

  function checkTime(request: SentRequest, endedAtMs: number): void {
    const lateMs = endedAtMs - request.sentAtMs - request.timeoutMs - responseGraceMs;
    if (
      lateMs > marginMs &&
      disruptions.hadContact(request.routerName, request.sentAtMs, endedAtMs)
    ) {
      findings.add(promises.inTime, `${Math.round(lateMs)} ms after its last moment`, request.id);
    }
  }

  function checkResponse(request: SentRequest, body: string, status: number): void {
    if (!expectedBodies(request, status).includes(body)) {
      const detail = `${status} with another body: ${JSON.stringify(body.slice(0, 80))}`;
      findings.add(promises.wholeAnswer, detail, request.id);
    }
  }

  /** Complete bodies of the servers that the request reached, for this status. */
  function expectedBodies(request: SentRequest, status: number): string[] {
    const { id, routeKind } = request;
    const serverIds = ledger.arrivalsOf(id).map(({ serverId }) => serverId);
    if (status !== okStatus) {
      return serverIds.map(failureText);
    }
    return routeKind === routeKinds.stream
      ? streamVersions.map((version) => expectedStream(request, version))
      : serverIds.map((serverId) => plainText(id, serverId));
  }

  function hadOnlyPlannedWork({ sentAtMs, endedAtMs = monotonicNowMs() }: SentRequest): boolean {
    return disruptions.hadOnlyPlannedWork(sentAtMs, endedAtMs);
  }

  /** During planned work alone, every request must get its response, also from a server that was silent for a while. */
  function checkPlannedWork(request: SentRequest, detail: string): void {
    const isSilence = silences.met(request);
    if (hadOnlyPlannedWork(request) && !(isSilence && silences.isExcused(request))) {
      const promise = isSilence ? promises.silence : promises.leaving;
      findings.add(promise, `${request.routerName}: ${detail}`, request.id);
    }
  }

  function checkNoResponse(request: SentRequest, isNewConnection: boolean, detail: string): void {
    const tookMs = (request.endedAtMs ?? 0) - request.sentAtMs;
    const wasForwarded =
      ledger.arrivalsOf(request.id).length > 0 || silences.wasForwarded(request.id);
    // A request on a reused connection may coincide with the router closing it, one on a new connection with the end of
    // the process.
    if (wasForwarded || (isNewConnection && tookMs > crossingMs + marginMs)) {
      checkPlannedWork(request, `no answer: ${detail}`);
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
    // The router gave up a silent server; the counts of silences show it.
    if (!(gatewayStatuses.includes(status) && silences.met(request))) {
      checkPlannedWork(request, `failed with ${status}`);
    }
  }

  function checkEnd(request: SentRequest): void {
    const { end } = request;
    switch (end?.kind) {
      case undefined:
      case 'caller-left':
        return;
      case 'whole':
        checkResponse(request, end.body, end.status);
        return;
      case 'refused':
        checkRefusal(request);
        return;
      case 'failed':
        checkFailed(request, end.status);
        return;
      case 'broken':
        checkPlannedWork(request, `broken answer ${end.status}`);
        return;
      case 'no-answer':
        checkNoResponse(request, end.isNewConnection, end.detail);
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
      checkDisconnectedCaller(arrival, request);
      options.workspaces.onArrival(arrival, request);
    },
    onEnded(request) {
      checkTime(request, request.endedAtMs ?? monotonicNowMs());
      checkEnd(request);
    },
    checkAll() {
      checkDepartures();
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

function expectedStream({ id, resumes }: SentRequest, softwareVersion: string): string {
  return Array.from({ length: streamEvents }, (_none, index) => index + 1)
    .slice(resumes?.afterEvent ?? 0)
    .map((event) => `id: ${event}\ndata: ${eventText(id, event, softwareVersion)}\n\n`)
    .join('');
}
