/**
 * The order of urgency of one service's requests: which waiting request is tried first, and the level that its engine
 * is told.
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

/** Engines know the levels from 0, the most urgent, to 9. */
const levelCount = 10;
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
    if (current !== undefined && !onTime.includes(current)) {
      current = undefined;
    }
    if (placedSinceLast < placementsPerOvertaking - 1) {
      return current;
    }
    const mostUrgent = Math.min(...onTime.map(({ priority }) => priority));
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

/** Translates priorities into the levels that engines know. */
export interface UrgencyLevels {
  /** Undefined if all requests of the service have the same priority: the engine then treats them alike. */
  levelOf(priority: number): number | undefined;
}

export const noLevels: UrgencyLevels = { levelOf: () => undefined };

/**
 * Creates the levels for the priorities that a service's requests can have. More than ten priorities share levels with
 * their neighbours.
 */
export function createUrgencyLevels(priorities: readonly number[]): UrgencyLevels {
  const ranked = [...new Set(priorities)].sort((left, right) => left - right);
  if (ranked.length < 2) {
    return noLevels;
  }
  /** The rank of the given priority, or of the next less urgent one if a configuration change removed it. */
  function rankOf(priority: number): number {
    const rank = ranked.findIndex((known) => known >= priority);
    return rank < 0 ? ranked.length - 1 : rank;
  }

  return {
    levelOf: (priority) => Math.floor((rankOf(priority) * levelCount) / ranked.length),
  };
}
