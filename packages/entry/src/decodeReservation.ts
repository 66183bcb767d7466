/** Builds the message that reserves memory at a decode worker. */
import type { ReserveExpectation } from '@bluebellhitch/decisions';
import type { ReserveRequest } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { ModelRun } from './modelTypes';

const continuationWaitLimitMs = 5_000;

export function decodeReservation(
  run: ModelRun,
  attemptId: string,
  expected: ReserveExpectation,
): ReserveRequest {
  const { context, request, emitted } = run;
  const isContinuation = emitted.tokenCount > 0;
  const nowMs = monotonicNowMs();
  const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
  const waitLimitMs = isContinuation ? continuationWaitLimitMs : Math.max(0, expected.waitLimitMs);
  return {
    entryId: context.entryId,
    entryIncarnation: context.entryIncarnation,
    requestId: request.requestId,
    attemptId,
    origin: request.origin,
    service: request.document.service,
    purpose: 'decode',
    promptTokens: request.promptTokens + emitted.tokenCount,
    maxOutputTokens: request.maxOutputTokens - emitted.tokenCount,
    neededInMs: expected.neededInMs,
    waitLimitMs: Math.min(waitLimitMs, remainingMs),
    firstTokenDeadlineInMs: firstTokenDeadlineInMs(run, expected, nowMs),
    repeatable: request.repeatable,
  };
}

/** A value of zero or less tells the agent that the target is missed and only the wait limit applies. */
function firstTokenDeadlineInMs(
  run: ModelRun,
  expected: ReserveExpectation,
  nowMs: number,
): number {
  const { request, emitted } = run;
  if (emitted.tokenCount > 0 || expected.late) {
    return 0;
  }
  return request.document.targets.firstTokenMs - (nowMs - request.arrivedAtMs);
}
