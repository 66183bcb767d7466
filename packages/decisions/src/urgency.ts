/**
 * The order of urgency of one service's requests: which waiting request is tried first.
 *
 * Streams that have started come first, then requests that can still meet their target, by priority and by arrival.
 * Under a standing overload of urgent requests, the others would only ever wait until they are late. So one that has
 * waited for half of the time that its target leaves may overtake more urgent ones, within a share of all placements.
 * docs/design/priorities.md has the figures.
 */

export interface WaitingUrgency {
  /** 0 is the most urgent. */
  priority: number;
  /** The stream has already started. */
  isResumed: boolean;
  arrivedAtMs: number;
  /** Latest start that meets the latency target. */
  latestStartAtMs: number;
}

export interface UrgencyOrder<Request extends WaitingUrgency> {
  nowMs: number;
  /** Whether the request may overtake more urgent ones. */
  isOvertaking?: (request: Request) => boolean;
}

/** Chooses which request may overtake more urgent ones. State of one service's queue. */
export interface Overtaking<Request extends WaitingUrgency> {
  /** The request that may overtake at the moment; the same one until it is placed or no longer waits. */
  choose(waiting: readonly Request[], nowMs: number): Request | undefined;
  /** Returns whether the request has overtaken others. */
  notePlaced(request: Request): boolean;
}

/** Share of the time until its latest start after which a request may overtake; the rest is a margin for its turn. */
const ageingShare = 0.5;
/** Of so many placements one may be out of order, so that urgent requests keep most of the capacity. */
const placementsPerOvertaking = 5;

/** Whether a request has waited for so long that it may overtake more urgent ones. */
function hasAged(
  { arrivedAtMs, latestStartAtMs }: Pick<WaitingUrgency, 'arrivedAtMs' | 'latestStartAtMs'>,
  nowMs: number,
): boolean {
  return nowMs >= arrivedAtMs + ageingShare * Math.max(0, latestStartAtMs - arrivedAtMs);
}

/** Negative if `left` comes first. */
export function compareUrgency<Request extends WaitingUrgency>(
  left: Request,
  right: Request,
  { nowMs, isOvertaking = () => false }: UrgencyOrder<Request>,
): number {
  return (
    Number(right.isResumed) - Number(left.isResumed) ||
    Number(left.latestStartAtMs < nowMs) - Number(right.latestStartAtMs < nowMs) ||
    Number(isOvertaking(right)) - Number(isOvertaking(left)) ||
    left.priority - right.priority ||
    left.arrivedAtMs - right.arrivedAtMs
  );
}

export function createOvertaking<Request extends WaitingUrgency>(): Overtaking<Request> {
  let current: Request | undefined;
  let placedSinceLast = placementsPerOvertaking - 1;

  function choose(waiting: readonly Request[], nowMs: number): Request | undefined {
    const onTime = waiting.filter(
      ({ isResumed, latestStartAtMs }) => !isResumed && latestStartAtMs >= nowMs,
    );
    const mostUrgent = Math.min(...onTime.map(({ priority }) => priority));
    if (current !== undefined && (!onTime.includes(current) || current.priority <= mostUrgent)) {
      current = undefined;
    }
    if (placedSinceLast < placementsPerOvertaking - 1) {
      return current;
    }
    current ??= onTime
      .filter((request) => request.priority > mostUrgent && hasAged(request, nowMs))
      .sort((left, right) => left.latestStartAtMs - right.latestStartAtMs)[0];
    return current;
  }

  return {
    choose,
    notePlaced(request) {
      const hasOvertaken = request === current;
      placedSinceLast = hasOvertaken ? 0 : placedSinceLast + 1;
      current = hasOvertaken ? undefined : current;
      return hasOvertaken;
    },
  };
}
