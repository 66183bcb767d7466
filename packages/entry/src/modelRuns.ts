/**
 * Model requests that run now. Repeatable requests with the same idempotency key and content share one
 * run; a run ends early when its last caller has left.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createAnswerLog, type AnswerLog } from './answerLog';
import { runModelRequest } from './modelRequest';
import { stopReasons, type ModelRequest, type ModelRun, type StopReason } from './modelTypes';
import type { RequestContext } from './requestContext';
import { createRequestTrace } from './requestTrace';
import { labelsOf } from './runReports';

/** A caller's part in a run. */
export interface RunMembership {
  log: AnswerLog;
  /** The caller is gone or has its answer; idempotent. */
  leave(): void;
}

export interface ModelRuns {
  /** Starts the request, or joins a run of the same key and content. */
  start(request: ModelRequest, shareKey?: string): RunMembership;
  activeCount(): number;
  stopAll(reason: StopReason): void;
  /** Resolves when no request runs. */
  settled(): Promise<void>;
}

interface ActiveRun {
  log: AnswerLog;
  stop: AbortController;
  callerCount: number;
  finished: Promise<unknown>;
}

/** Creates the runs of one entry. */
export function createModelRuns(context: RequestContext): ModelRuns {
  const active = new Set<ActiveRun>();
  const shared = new Map<string, ActiveRun>();

  function begin(request: ModelRequest): ActiveRun {
    const stop = new AbortController();
    const log = createAnswerLog();
    const run = createRun(context, request, log, stop.signal);
    const timer = setTimeout(
      () => stop.abort(stopReasons.deadline),
      Math.max(0, request.deadlineAtMs - monotonicNowMs()),
    );
    const finished = runModelRequest(run)
      .catch((error: unknown) => failRun(context, run, error))
      .finally(() => clearTimeout(timer));
    return { log, stop, callerCount: 0, finished };
  }

  function track(activeRun: ActiveRun, shareKey: string | undefined): void {
    active.add(activeRun);
    if (shareKey !== undefined) {
      shared.set(shareKey, activeRun);
    }
    void activeRun.finished.then(() => {
      active.delete(activeRun);
      if (shareKey !== undefined && shared.get(shareKey) === activeRun) {
        shared.delete(shareKey);
      }
    });
  }

  function join(activeRun: ActiveRun): RunMembership {
    let left = false;
    activeRun.callerCount += 1;
    return {
      log: activeRun.log,
      leave() {
        if (left) {
          return;
        }
        left = true;
        activeRun.callerCount -= 1;
        if (activeRun.callerCount === 0) {
          activeRun.stop.abort(stopReasons.callerGone);
        }
      },
    };
  }

  return {
    start(request, shareKey) {
      const known = shareKey === undefined ? undefined : shared.get(shareKey);
      if (known !== undefined && !known.stop.signal.aborted) {
        return join(known);
      }
      const begun = begin(request);
      track(begun, shareKey);
      return join(begun);
    },
    activeCount: () => active.size,
    stopAll: (reason) => active.forEach(({ stop }) => stop.abort(reason)),
    async settled() {
      while (active.size > 0) {
        await Promise.all([...active].map(({ finished }) => finished));
      }
    },
  };
}

function createRun(
  context: RequestContext,
  request: ModelRequest,
  log: AnswerLog,
  signal: AbortSignal,
): ModelRun {
  return {
    context,
    request,
    log,
    signal,
    trace: createRequestTrace({
      ring: context.ring,
      requestId: request.requestId,
      labels: labelsOf(request),
      fingerprint: request.fingerprint,
      arrivedAtMs: request.arrivedAtMs,
    }),
    emitted: { tokenCount: 0, text: '' },
    tried: new Set(),
    mayHaveRun: false,
    struck: false,
  };
}

/** A defect of this program: its caller still gets an answer. */
function failRun(context: RequestContext, run: ModelRun, error: unknown): void {
  context.logger.error('model request failed', { requestId: run.request.requestId, error });
  if (!run.log.isClosed()) {
    run.log.append({
      kind: 'refused',
      refusal: {
        kind: 'refusal',
        reason: 'internal',
        notRun: run.mayHaveRun ? 'unknown' : true,
        detail: 'internal error',
      },
    });
  }
}
