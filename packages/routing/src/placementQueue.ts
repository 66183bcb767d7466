/** Requests that wait for decode memory: the order in which they are tried, and which of them are too late to wait. */
import {
  createBoundedMap,
  createPlacementAdmission,
  type PlacementAdmission,
} from '@bluebellhitch/decisions';
import type { Random } from '@bluebellhitch/shared';

export interface QueuedRequest {
  serviceName: string;
  /** The stream has already started. It goes first, since dropping it would waste the work done so far. */
  isResumed: boolean;
  /** 0 is the most urgent. */
  priority: number;
  arrivedAtMs: number;
  expectedHoldMs: number;
  /**
   * Latest start that meets the latency target. After it, the request is queued behind those that can still meet
   * their targets.
   */
  latestStartAtMs: number;
}

export interface PlacementQueue<Request extends QueuedRequest> {
  add(request: Request): void;
  /** Returns false if the request was not waiting. */
  remove(request: Request): boolean;
  has(request: Request): boolean;
  size(): number;
  /** The waiting requests of all services, the first to be placed first. */
  sorted(nowMs: number): Request[];
  notePlaced(request: Request, nowMs: number): void;
  /** Whether a new request should be refused at once. A resumed stream keeps waiting in any case. */
  isTooLate(request: Request, nowMs: number): boolean;
  retryAfterMs(request: Request, nowMs: number): number;
}

const maxServices = 512;

export function createPlacementQueue<Request extends QueuedRequest>({
  random,
}: {
  random: Random;
}): PlacementQueue<Request> {
  const waiting = new Set<Request>();
  /** By service: each has its own engines and therefore its own queue. */
  const admissions = createBoundedMap<string, PlacementAdmission>({ maxEntries: maxServices });

  function admissionOf({ serviceName }: Request): PlacementAdmission {
    return admissions.getOrCreate(serviceName, () => createPlacementAdmission({ random }));
  }

  function sorted(nowMs: number): Request[] {
    return [...waiting].sort((left, right) => compareRequests(left, right, nowMs));
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
    notePlaced: (request, nowMs) => admissionOf(request).notePlaced(nowMs),
    isTooLate(request, nowMs) {
      const slackMs = request.latestStartAtMs - nowMs;
      const aheadCount = countAhead(request, nowMs);
      const decision = admissionOf(request).decide({ slackMs, aheadCount }, nowMs);
      return !request.isResumed && decision.kind === 'refuse';
    },
    retryAfterMs(request, nowMs) {
      const aheadCount = countAhead(request, nowMs);
      const refused = { aheadCount, holdMs: request.expectedHoldMs };
      return admissionOf(request).retryAfterMs(refused, nowMs);
    },
  };
}

export function isOnTime(
  { isResumed, latestStartAtMs }: Pick<QueuedRequest, 'isResumed' | 'latestStartAtMs'>,
  nowMs: number,
): boolean {
  return isResumed || latestStartAtMs >= nowMs;
}

function compareRequests(left: QueuedRequest, right: QueuedRequest, nowMs: number): number {
  return (
    Number(right.isResumed) - Number(left.isResumed) ||
    Number(left.latestStartAtMs < nowMs) - Number(right.latestStartAtMs < nowMs) ||
    left.priority - right.priority ||
    left.arrivedAtMs - right.arrivedAtMs
  );
}
