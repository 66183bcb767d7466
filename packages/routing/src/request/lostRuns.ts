/**
 * Records calls that carried a request and whose response was lost: in the log with the request's fingerprint, so that
 * one that comes again can be followed over all routers, and as a possible crash of the server by the request.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from '../model';
import type { RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';

/** Who ended the call. */
export const lostRunCauses = {
  /** The connection ended or its response was unusable. */
  server: 'server',
  /** The router gave up, because of a time-out or because the caller left. */
  router: 'router',
} as const;
export type LostRunCause = (typeof lostRunCauses)[keyof typeof lostRunCauses];

/** When a run's events arrived, on the monotonic clock; undefined if there were none. */
export interface EventTimes {
  firstEventAtMs?: number;
  lastEventAtMs?: number;
}

export interface LostRun extends EventTimes {
  state: RequestState;
  server: BackendServer;
  /** When the call began, on the monotonic clock. */
  startedAtMs: number;
  cause: LostRunCause;
  detail: string;
}

type Dependencies = Pick<
  RouterDependencies,
  'metrics' | 'logger' | 'quarantine' | 'directory' | 'engineLoads'
>;

/** Notes that an event has arrived. */
export function noteEventTime(times: EventTimes): void {
  times.lastEventAtMs = monotonicNowMs();
  times.firstEventAtMs ??= times.lastEventAtMs;
}

export function recordLostRun(
  { state, server, startedAtMs, cause, detail, firstEventAtMs, lastEventAtMs }: LostRun,
  { metrics, logger, quarantine, directory, engineLoads }: Dependencies,
): void {
  const { identity, request } = state;
  const nowMs = monotonicNowMs();
  metrics.countLostRun(state.service.name, cause);
  logger.info('run lost', {
    requestId: request.id,
    fingerprint: identity.fingerprint(),
    server: server.id,
    cause,
    detail,
    durationMs: Math.round(nowMs - startedAtMs),
    sharedParts: request.sharedParts,
    writingMs: firstEventAtMs === undefined ? undefined : Math.round(nowMs - firstEventAtMs),
    silentMs: Math.round(nowMs - (lastEventAtMs ?? startedAtMs)),
    unresponsive: engineLoads.unresponsiveEvidence(server.id),
    sentCount: state.sentCount,
    furtherAttempts: state.furtherAttemptCount,
    failedServers: [...state.failedServerIds],
  });
  if (cause === lostRunCauses.server || directory.hasRestarted(server)) {
    const { id: requestId } = request;
    quarantine.noteLost({ identity, requestId, server, startedAtMs });
  }
}
