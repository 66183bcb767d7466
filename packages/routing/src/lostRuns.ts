/**
 * Records calls that carried a request and whose response was lost. Only here is a request's fingerprint written to the
 * log, so that a request that comes again can be followed over all routers.
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
}

export function recordLostRun(
  { state, server, startedAtMs, cause, detail }: LostRun,
  { metrics, logger }: Pick<RouterDependencies, 'metrics' | 'logger'>,
): void {
  metrics.countLostRun(state.service.name, cause);
  logger.info('run lost', {
    requestId: state.request.id,
    fingerprint: state.fingerprint(),
    server: server.id,
    cause,
    detail,
    durationMs: Math.round(monotonicNowMs() - startedAtMs),
  });
}
