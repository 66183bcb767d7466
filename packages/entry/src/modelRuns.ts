/**
 * The model requests that are running. Repeatable requests with the same idempotency key and content
 * share one run; a run is stopped when its last caller has disconnected.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createResponseLog, type ResponseLog } from './responseLog';
import { runModelRequest } from './modelRequest';
import { stopReasons, type ModelRequest, type ModelRun, type StopReason } from './modelTypes';
import type { RequestContext } from './requestContext';
import { createRequestTrace } from './requestTrace';
import { labelsOf } from './runReports';

/** A caller's subscription to a run. */
export interface RunSubscription {
  log: ResponseLog;
  /** Call it when the caller has disconnected or has its response; idempotent. */
  leave(): void;
}

export interface ModelRuns {
  /** Starts the request, or joins the run with the same key and content. */
  start(request: ModelRequest, shareKey?: string): RunSubscription;
  activeCount(): number;
  /** Stops all runs, also those that start later. */
  stopAll(reason: StopReason): void;
  /** Resolves when no request is running. */
  settled(): Promise<void>;
}

interface ActiveRun {
  log: ResponseLog;
  stop: AbortController;
  callerCount: number;
  finished: Promise<unknown>;
}

/** Creates the runs of one entry. */
export function createModelRuns(context: RequestContext): ModelRuns {
  const active = new Set<ActiveRun>();
  const shared = new Map<string, ActiveRun>();
  let allStopped: StopReason | undefined;

  function startRun(request: ModelRequest): ActiveRun {
    const stop = new AbortController();
    if (allStopped !== undefined) {
      stop.abort(allStopped);
    }
    const log = createResponseLog();
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

  function join(activeRun: ActiveRun): RunSubscription {
    let hasLeft = false;
    activeRun.callerCount += 1;
    return {
      log: activeRun.log,
      leave() {
        if (hasLeft) {
          return;
        }
        hasLeft = true;
        activeRun.callerCount -= 1;
        if (activeRun.callerCount === 0) {
          activeRun.stop.abort(stopReasons.callerGone);
        }
      },
    };
  }

  return {
    start(request, shareKey) {
      const existing = shareKey === undefined ? undefined : shared.get(shareKey);
      if (existing !== undefined && !existing.stop.signal.aborted) {
        return join(existing);
      }
      const started = startRun(request);
      track(started, shareKey);
      return join(started);
    },
    activeCount: () => active.size,
    stopAll(reason) {
      allStopped = reason;
      active.forEach(({ stop }) => stop.abort(reason));
    },
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
  log: ResponseLog,
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

/** Handles an unexpected error, a defect of this program, so that the caller still gets a response. */
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
