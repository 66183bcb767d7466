/** Requests that wait for decode memory: the order in which they are tried, and which of them are too late to wait. */
import {
  compareUrgency,
  createBoundedMap,
  createOvertaking,
  createPlacementAdmission,
  type Overtaking,
  type PlacementAdmission,
  type WaitingUrgency,
} from '@bluebellhitch/decisions';
import type { Random } from '@bluebellhitch/shared';

export interface QueuedRequest extends WaitingUrgency {
  serviceName: string;
  expectedHoldMs: number;
}

export interface PlacementQueue<Request extends QueuedRequest> {
  add(request: Request): void;
  /** Returns false if the request was not waiting. */
  remove(request: Request): boolean;
  has(request: Request): boolean;
  size(): number;
  /** The waiting requests of all services, the first to be placed first. */
  sorted(nowMs: number): Request[];
  /** Returns whether the request was placed before more urgent ones because it had waited long. */
  notePlaced(request: Request, nowMs: number): boolean;
  /** Whether a new request should be refused at once. A resumed stream keeps waiting in any case. */
  isTooLate(request: Request, nowMs: number): boolean;
  retryAfterMs(request: Request, nowMs: number): number;
}

/** State of one service's queue. Each service has its own engines and therefore its own queue. */
interface ServiceQueue<Request extends QueuedRequest> {
  admission: PlacementAdmission;
  overtaking: Overtaking<Request>;
}

const maxServices = 512;

export function createPlacementQueue<Request extends QueuedRequest>({
  random,
}: {
  random: Random;
}): PlacementQueue<Request> {
  const waiting = new Set<Request>();
  const queues = createBoundedMap<string, ServiceQueue<Request>>({ maxEntries: maxServices });

  function queueOf(serviceName: string): ServiceQueue<Request> {
    return queues.getOrCreate(serviceName, () => ({
      admission: createPlacementAdmission({ random }),
      overtaking: createOvertaking(),
    }));
  }

  function sorted(nowMs: number): Request[] {
    const overtaking = chooseOvertaking(nowMs);
    const order = { nowMs, isOvertaking: (request: Request) => overtaking.has(request) };
    return [...waiting].sort((left, right) => compareUrgency(left, right, order));
  }

  /** At most one request of each service. */
  function chooseOvertaking(nowMs: number): Set<Request | undefined> {
    const byService = new Map<string, Request[]>();
    waiting.forEach((request) => {
      const { serviceName } = request;
      const requests = byService.get(serviceName) ?? [];
      requests.push(request);
      byService.set(serviceName, requests);
    });
    const chosen = [...byService].map(([serviceName, requests]) =>
      queueOf(serviceName).overtaking.choose(requests, nowMs),
    );
    return new Set(chosen);
  }

  function countAhead(request: Request, nowMs: number): number {
    const queue = sorted(nowMs).filter(({ serviceName }) => serviceName === request.serviceName);
    return Math.max(0, queue.indexOf(request));
  }

  return {
    add: (request) => waiting.add(request),
    remove: (request) => waiting.delete(request),
    has: (request) => waiting.has(request),
    size: () => waiting.size,
    sorted,
    notePlaced(request, nowMs) {
      const { admission, overtaking } = queueOf(request.serviceName);
      admission.notePlaced(nowMs);
      return overtaking.notePlaced(request);
    },
    isTooLate(request, nowMs) {
      const slackMs = request.latestStartAtMs - nowMs;
      const aheadCount = countAhead(request, nowMs);
      const { admission } = queueOf(request.serviceName);
      const decision = admission.decide({ slackMs, aheadCount }, nowMs);
      return !request.isResumed && decision.kind === 'refuse';
    },
    retryAfterMs(request, nowMs) {
      const aheadCount = countAhead(request, nowMs);
      const refused = { aheadCount, holdMs: request.expectedHoldMs };
      return queueOf(request.serviceName).admission.retryAfterMs(refused, nowMs);
    },
  };
}

export function isOnTime(
  { isResumed, latestStartAtMs }: Pick<QueuedRequest, 'isResumed' | 'latestStartAtMs'>,
  nowMs: number,
): boolean {
  return isResumed || latestStartAtMs >= nowMs;
}
