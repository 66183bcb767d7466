/** Checks by arrivals that all routers together respect the limits that backend servers announce. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Ledger } from './ledger';

export interface LimitChecksOptions {
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  marginMs: number;
}

export interface LimitChecks {
  /** The server announces a limit from now on; call the returned function when it stops. */
  begin(serverId: string, requestsPerSecond: number): () => void;
  /** Checks all limits at the end of a run. */
  checkAll(): void;
}

interface LimitNotice {
  serverId: string;
  requestsPerSecond: number;
  fromMs: number;
  /** Infinity until the server stops announcing it. */
  toMs: number;
}

const windowMs = 4_000;
const msPerSecond = 1_000;
/** All routers must apply a limit within half a second after the first response that announces it. */
const noticeDelayMs = 500;
const toleratedFactor = 1.5;
const toleratedRequests = 5;

export function createLimitChecks(options: LimitChecksOptions): LimitChecks {
  const { ledger, findings, disruptions, marginMs } = options;
  const limits: LimitNotice[] = [];

  /** Counts only routers that had contact throughout; a disturbed link may deliver delayed requests all at once. */
  function arrivalsAtMs({ serverId, fromMs, toMs }: LimitNotice): number[] {
    const ofServer = ledger.arrivals().filter((arrival) => arrival.serverId === serverId);
    const firstNoticeMs = ofServer.find(({ atMs }) => atMs >= fromMs)?.atMs ?? Infinity;
    const effectiveFromMs = firstNoticeMs + noticeDelayMs + marginMs;
    return ofServer
      .filter(({ atMs }) => atMs >= effectiveFromMs && atMs <= toMs)
      .filter(({ requestId, atMs }) => isCounted(requestId, serverId, fromMs, atMs))
      .map(({ atMs }) => atMs);
  }

  function isCounted(requestId: string, serverId: string, fromMs: number, atMs: number): boolean {
    const routerName = ledger.request(requestId)?.routerName ?? '';
    return (
      disruptions.hadContact(routerName, fromMs, atMs) &&
      !disruptions.isServerDisturbed(serverId, fromMs, atMs)
    );
  }

  function check(limit: LimitNotice): void {
    const times = arrivalsAtMs(limit);
    const maxRequests = (toleratedFactor * limit.requestsPerSecond * windowMs) / msPerSecond;
    const maxInWindow = Math.max(
      0,
      ...times.map(
        (endMs) =>
          times.filter((arrivedAtMs) => arrivedAtMs <= endMs && arrivedAtMs > endMs - windowMs)
            .length,
      ),
    );
    if (maxInWindow > maxRequests + toleratedRequests) {
      const notice = `${limit.serverId} had named ${limit.requestsPerSecond} requests a second`;
      findings.add(promises.serverLimit, `${notice} and got ${maxInWindow} in ${windowMs} ms`);
    }
  }

  return {
    begin(serverId, requestsPerSecond) {
      const limit = { serverId, requestsPerSecond, fromMs: monotonicNowMs(), toMs: Infinity };
      limits.push(limit);
      return () => {
        limit.toMs = Math.min(limit.toMs, monotonicNowMs());
      };
    },
    checkAll: () => limits.forEach(check),
  };
}
