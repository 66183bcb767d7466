/** Checks that routers together keep to the limits that backend servers name, by what reached those servers. */
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
  /** The server names a limit from now on; call the result when it no longer does. */
  begin(serverId: string, requestsPerSecond: number): () => void;
  /** Looks at all limits once a run is over. */
  checkAll(): void;
}

interface NamedLimit {
  serverId: string;
  requestsPerSecond: number;
  fromMs: number;
  /** Infinite while it lasts. */
  toMs: number;
}

const windowMs = 4_000;
const msPerSecond = 1_000;
/** Routers have half a second from the first answer that names it. */
const toldMs = 500;
const toleratedFactor = 1.5;
const toleratedRequests = 5;

export function createLimitChecks(options: LimitChecksOptions): LimitChecks {
  const { ledger, findings, disruptions, marginMs } = options;
  const limits: NamedLimit[] = [];

  /** Of routers that were in touch all the while; what a disturbed link held up may come at once. */
  function arrivalsAtMs({ serverId, fromMs, toMs }: NamedLimit): number[] {
    const ofServer = ledger.arrivals().filter((arrival) => arrival.serverId === serverId);
    const firstToldMs = ofServer.find(({ atMs }) => atMs >= fromMs)?.atMs ?? Infinity;
    const boundFromMs = firstToldMs + toldMs + marginMs;
    return ofServer
      .filter(({ atMs }) => atMs >= boundFromMs && atMs <= toMs)
      .filter(({ requestId, atMs }) => isCounted(requestId, serverId, fromMs, atMs))
      .map(({ atMs }) => atMs);
  }

  function isCounted(requestId: string, serverId: string, fromMs: number, atMs: number): boolean {
    const routerName = ledger.request(requestId)?.routerName ?? '';
    return (
      disruptions.isInTouch(routerName, fromMs, atMs) &&
      !disruptions.isServerDisturbed(serverId, fromMs, atMs)
    );
  }

  function check(limit: NamedLimit): void {
    const times = arrivalsAtMs(limit);
    const most = (toleratedFactor * limit.requestsPerSecond * windowMs) / msPerSecond;
    const fullest = Math.max(
      0,
      ...times.map((endMs) => times.filter((at) => at <= endMs && at > endMs - windowMs).length),
    );
    if (fullest > most + toleratedRequests) {
      const named = `${limit.serverId} had named ${limit.requestsPerSecond} requests a second`;
      findings.add(promises.serverLimit, `${named} and got ${fullest} in ${windowMs} ms`);
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
