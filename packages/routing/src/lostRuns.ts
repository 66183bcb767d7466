/**
 * Records calls that carried a request and whose response was lost: in the log with the request's fingerprint, so that
 * one that comes again can be followed over all routers, and as a possible crash of the server by the request.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from './model';
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

export interface LostRun {
  state: RequestState;
  server: BackendServer;
  /** When the call began, on the monotonic clock. */
  startedAtMs: number;
  cause: LostRunCause;
  detail: string;
  /** When the run's first event arrived; undefined if there was none. */
  firstEventAtMs?: number;
}

type Dependencies = Pick<RouterDependencies, 'metrics' | 'logger' | 'quarantine' | 'directory'>;

export function recordLostRun(
  { state, server, startedAtMs, cause, detail, firstEventAtMs }: LostRun,
  { metrics, logger, quarantine, directory }: Dependencies,
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
  });
  if (cause === lostRunCauses.server || directory.hasRestarted(server)) {
    const { id: requestId } = request;
    quarantine.noteLost({ identity, requestId, server, startedAtMs });
  }
}
