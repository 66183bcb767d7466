/**
 * Streams while servers of several software versions serve side by side: all events of a stream come from one version,
 * however often its caller takes it up again, and most of those that are taken up go on.
 */
import { routeKinds } from '@bluebellhitch/routing';
import { streamVersions } from './serverSlots';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Ledger, SentRequest } from './ledger';

export interface StreamVersionChecksOptions {
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  /** Number of engines that serve at a software version. */
  engineCount: (softwareVersion: string) => number;
}

export interface StreamVersionChecks {
  /** To be called when a request is sent that takes up a stream. */
  onResumed(request: SentRequest): void;
  onEnded(request: SentRequest): void;
  /** To be called once, after the last response. */
  checkAll(): ResumedStreams;
}

/** Requests that took up a stream at routers with contact, while two engines of its version served. */
export interface ResumedStreams {
  sent: number;
  wentOn: number;
}

const okStatus = 200;
const minEngines = 2;
const minResumed = 12;
/** Of the share of new streams that begin. */
const minShare = 0.5;

export function createStreamVersionChecks(
  options: StreamVersionChecksOptions,
): StreamVersionChecks {
  const { ledger, findings, disruptions } = options;
  /** Versions of the events of each stream, by the id of the request that brought the first. */
  const versionsOf = new Map<string, Set<string>>();
  const expected = new Set<SentRequest>();

  const hadContact = ({ routerName, sentAtMs, endedAtMs = Infinity }: SentRequest) =>
    disruptions.hadContact(routerName, sentAtMs, endedAtMs);

  function shareOf(requests: readonly SentRequest[]): number {
    return requests.filter(hasEvents).length / Math.max(1, requests.length);
  }

  return {
    onResumed(request) {
      const [version] = versionsOf.get(request.resumes?.streamId ?? '') ?? [];
      if (version !== undefined && options.engineCount(version) >= minEngines) {
        expected.add(request);
      }
    },
    onEnded(request) {
      const streamId = request.resumes?.streamId ?? request.id;
      const known = versionsOf.get(streamId) ?? new Set<string>();
      versionsIn(request).forEach((version) => known.add(version));
      if (known.size > 0) {
        versionsOf.set(streamId, known);
      }
      if (known.size > 1) {
        const detail = `events of ${[...known].join(' and ')} in stream ${streamId}`;
        findings.add(promises.oneVersion, detail, request.id);
      }
    },
    checkAll() {
      const resumed = [...expected].filter(
        (request) =>
          request.end?.kind !== 'caller-left' && wasConnected(request) && hadContact(request),
      );
      const fresh = [...ledger.requests()].filter(
        (request) =>
          request.routeKind === routeKinds.stream &&
          request.resumes === undefined &&
          request.end?.kind !== 'caller-left' &&
          wasConnected(request) &&
          hadContact(request),
      );
      const share = shareOf(resumed);
      if (resumed.length >= minResumed && share < minShare * shareOf(fresh)) {
        const detail = `${(share * 100).toFixed(0)}% of ${resumed.length} resumed streams went on`;
        findings.add(promises.resumption, detail);
      }
      return { sent: resumed.length, wentOn: resumed.filter(hasEvents).length };
    },
  };
}

/** Id of the last complete event in a stream's body; 0 without one. */
export function lastEventId(body: string): number {
  const events = body.split('\n\n').slice(0, -1);
  return Number(/^id: (\d+)\n/.exec(events.at(-1) ?? '')?.[1] ?? 0);
}

/** Whether a process took the connection: one that does not run, or has not yet begun to listen, refuses it. */
export function wasConnected({ end }: SentRequest): boolean {
  return end?.kind !== 'no-answer' || !end.detail.startsWith('connect ECONNREFUSED');
}

function hasEvents(request: SentRequest): boolean {
  return versionsIn(request).length > 0;
}

/** The software versions that wrote the complete events of a response. */
function versionsIn({ end, routeKind }: SentRequest): string[] {
  const hasBody = end?.kind === 'whole' || end?.kind === 'broken' || end?.kind === 'caller-left';
  if (routeKind !== routeKinds.stream || !hasBody) {
    return [];
  }
  const events = end.status === okStatus ? (end.body ?? '').split('\n\n').slice(0, -1) : [];
  return streamVersions.filter((version) => events.some((event) => event.endsWith(` ${version}`)));
}
