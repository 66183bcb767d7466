/**
 * Silences of sound servers: which requests they met, and how these ended. A silence is no disruption, so it excuses no
 * request that a router ends before its time; and a run whose silences met no request proves nothing.
 */
import { routeKinds, type Stage } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Disruption, Disruptions } from './disruptions';
import type { Ledger, SentRequest } from './ledger';

/** What went on beside a request, at its router or in the configuration. */
export const plannedWork = {
  stop: 'stop',
  reload: 'reload',
  configuration: 'configuration',
  none: 'none',
} as const;
export type PlannedWork = (typeof plannedWork)[keyof typeof plannedWork];

/** Requests of one route that were in progress at a silent server, beside planned work of one kind. */
export interface SilenceCount {
  routeName: string;
  beside: PlannedWork;
  met: number;
  /** Of these, the ones that ended with a complete response of a server. */
  whole: number;
  /** Complete responses 502 or 504 of a router. */
  gatewayErrors: number;
  /** Other complete responses of a router. */
  otherErrors: number;
  /** Ended by a router without a complete response. */
  cut: number;
  /** Ended by their callers. */
  left: number;
}

export interface SilencesOptions {
  ledger: Pick<Ledger, 'requests' | 'arrivalsOf'>;
  disruptions: Pick<Disruptions, 'all'>;
  /** When the store acknowledged changes of the configuration's routes. */
  configurationChangesMs(): readonly number[];
  applyMs: number;
  graceMs: number;
}

export interface Silences {
  /** Returns a function to call when the server goes on. */
  begin(server: { id: string; stage?: Stage }): () => void;
  noteArrival(requestId: string, serverId: string, isPrefill?: boolean): void;
  noteWorkEnded(requestId: string, serverId: string): void;
  /** Whether the request has reached a server, which may not have read it yet. */
  wasForwarded(requestId: string): boolean;
  /** Whether a server of the request's service was silent while the request was open. */
  met(request: SentRequest): boolean;
  /** Whether a router might end the request although its server was only silent. */
  isExcused(request: SentRequest): boolean;
  /** The server that may run the request yet, once it goes on. */
  unreadAt(requestId: string): string | undefined;
  counts(): SilenceCount[];
}

interface Span {
  fromMs: number;
  toMs: number;
}

interface Silence extends Span {
  serverId: string;
  isEngine: boolean;
}

interface Work extends Span {
  serverId: string;
  isPrefill: boolean;
}

export const gatewayStatuses: readonly number[] = [502, 504];
/** A router that stops may end requests in the last sixth of its grace period if they were sent this soon. */
const lastShareOfGrace = 1 / 6;
const sentSoonMs = 3_000;
/** A stop or a change of the configuration counts as planned work for this long beyond its bound. */
const aftermathMs = 1_000;

export function createSilences(options: SilencesOptions): Silences {
  const { ledger, disruptions, applyMs, graceMs } = options;
  const silences: Silence[] = [];
  const works = new Map<string, Work[]>();

  const worksOf = (requestId: string) => works.get(requestId) ?? [];

  function metAtServer({ id }: SentRequest): boolean {
    return worksOf(id).some((work) =>
      silences.some((one) => one.serverId === work.serverId && overlap(one, work)),
    );
  }

  const worksOnRouter = ({ routerName }: SentRequest, cause: string): Disruption[] =>
    disruptions
      .all()
      .filter(
        (one) =>
          one.cause === cause && one.subject.kind === 'router' && one.subject.name === routerName,
      );

  /** What the rule of planned work counts the request under; `none` if it counts under nothing. */
  function plannedWorkBeside(request: SentRequest): PlannedWork[] {
    const span = spanOf(request);
    const isBeside = (fromMs: number, forMs: number) =>
      overlap(span, { fromMs, toMs: fromMs + forMs + aftermathMs });
    const besides: PlannedWork[] = [
      ...worksOnRouter(request, 'stopped')
        .filter(({ fromMs }) => isBeside(fromMs, graceMs))
        .map(() => plannedWork.stop),
      ...worksOnRouter(request, 'reloaded')
        .filter(({ fromMs }) => span.fromMs <= fromMs + applyMs && span.toMs >= fromMs)
        .map(() => plannedWork.reload),
      ...options
        .configurationChangesMs()
        .filter((atMs) => isBeside(atMs, applyMs))
        .map(() => plannedWork.configuration),
    ];
    return besides.length > 0 ? [...new Set(besides)] : [plannedWork.none];
  }

  function wasInLastGrace(request: SentRequest): boolean {
    const { fromMs: sentAtMs, toMs: endedAtMs } = spanOf(request);
    return worksOnRouter(request, 'stopped').some(
      ({ fromMs }) =>
        sentAtMs <= fromMs + sentSoonMs && endedAtMs >= fromMs + graceMs * (1 - lastShareOfGrace),
    );
  }

  return {
    begin({ id: serverId, stage }) {
      const fromMs = monotonicNowMs();
      const silence = { serverId, isEngine: stage !== undefined, fromMs, toMs: Infinity };
      silences.push(silence);
      return () => {
        silence.toMs = monotonicNowMs();
      };
    },
    noteArrival(requestId, serverId, isPrefill = false) {
      const work = { serverId, isPrefill, fromMs: monotonicNowMs(), toMs: Infinity };
      works.set(requestId, [...worksOf(requestId), work]);
    },
    noteWorkEnded(requestId, serverId) {
      worksOf(requestId)
        .filter((work) => work.serverId === serverId && work.toMs === Infinity)
        .slice(0, 1)
        .forEach((work) => Object.assign(work, { toMs: monotonicNowMs() }));
    },
    wasForwarded: (requestId) => worksOf(requestId).length > 0,
    met: (request) =>
      silences.some(
        (one) =>
          one.isEngine === (request.routeKind === routeKinds.stream) &&
          overlap(one, spanOf(request)),
      ),
    isExcused(request) {
      const { fromMs, toMs } = spanOf(request);
      return toMs >= fromMs + request.timeoutMs || wasInLastGrace(request);
    },
    unreadAt: (requestId) =>
      worksOf(requestId).find(
        ({ serverId, isPrefill }) =>
          !isPrefill &&
          !ledger.arrivalsOf(requestId).some((arrival) => arrival.serverId === serverId),
      )?.serverId,
    counts() {
      const counts = new Map<string, SilenceCount>();
      [...ledger.requests()].filter(metAtServer).forEach((request) =>
        plannedWorkBeside(request).forEach((beside) => {
          const { routeName } = request;
          const key = `${routeName} ${beside}`;
          const count = counts.get(key) ?? { ...noRequests, routeName, beside };
          counts.set(key, count);
          count.met += 1;
          count[outcomeOf(request)] += 1;
        }),
      );
      return [...counts.values()];
    },
  };
}

const noRequests = { met: 0, whole: 0, gatewayErrors: 0, otherErrors: 0, cut: 0, left: 0 };

function outcomeOf({ end }: SentRequest): keyof typeof noRequests {
  switch (end?.kind) {
    case 'whole':
      return 'whole';
    case 'caller-left':
    case undefined:
      return 'left';
    case 'failed':
    case 'refused':
      return gatewayStatuses.includes(end.status) ? 'gatewayErrors' : 'otherErrors';
    default:
      return 'cut';
  }
}

function spanOf({ sentAtMs, endedAtMs = Infinity }: SentRequest): Span {
  return { fromMs: sentAtMs, toMs: endedAtMs };
}

function overlap(one: Span, other: Span): boolean {
  return one.fromMs <= other.toMs && other.fromMs <= one.toMs;
}
