/** Streams one attempt's response into the log, after a guard has checked attempt id, offset and end marker. */
import {
  createStallDetector,
  createStreamGuard,
  type FailedFrame,
  type GuardedFrame,
  type StreamGuard,
} from '@bluebellhitch/decisions';
import type { FinishReason, StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import { assertNever, monotonicNowMs, refusalReasons } from '@bluebellhitch/shared';
import { droppedFrameCauses, requestPhases, retryCauses } from '@bluebellhitch/telemetry';
import type { StreamOpenError } from './agentApi';
import { failureOfCall, failureOfRefusal } from './agentFailures';
import { hasBidElsewhere } from './bidElsewhere';
import { createLinkedAbort, type LinkedAbort } from './linkedAbort';
import { stopReasons, type AttemptFailure, type AttemptOutcome, type ModelRun } from './modelTypes';
import type { Placement } from './placement';
import { learnFromResponse, learnFromFirstToken } from './phaseLearning';
import { kvSourceOf, type FinishedPrefill } from './prefillStage';
import { labelsOf, reportStrike } from './runReports';
import { separationEndTokens } from './separation';
import { noteCallError, noteLoad, noteOutcome, noteRefusal } from './serverHealth';
import { watchStreamLease } from './streamLease';

export interface StreamStage {
  placement: Placement;
  prefill?: FinishedPrefill;
  /** Called on the attempt's first token: a transferred KV cache has been used by then. */
  onFirstToken: () => void;
}

interface StreamState extends StreamStage {
  run: ModelRun;
  guard: StreamGuard;
  /** Number of tokens that earlier attempts delivered. */
  startTokens: number;
  dispatchedAtMs: number;
  link: LinkedAbort;
  onProgress: (totalTokens: number) => void;
}

const stallCheckMs = 250;
const droppedCauses = {
  'foreign-attempt': droppedFrameCauses.otherAttempt,
  duplicate: droppedFrameCauses.wrongOffset,
  'after-end': droppedFrameCauses.afterEnd,
} as const;

/** Dispatches the attempt and reads its frames until it ends. */
export async function streamAttempt(run: ModelRun, stage: StreamStage): Promise<AttemptOutcome> {
  const { decode } = stage.placement;
  const link = createLinkedAbort([{ signal: run.signal, reason: stopReasons.callerGone }]);
  const watch = watchForStall(run, stage.placement, link);
  const guard = createStreamGuard({
    attemptId: decode.attemptId,
    startOffset: run.emitted.tokenCount,
  });
  const startTokens = run.emitted.tokenCount;
  const onProgress = watch.progress;
  const dispatchedAtMs = monotonicNowMs();
  const state: StreamState = {
    ...stage,
    run,
    guard,
    startTokens,
    dispatchedAtMs,
    link,
    onProgress,
  };
  const lease = watchStreamLease({
    share: decode.share,
    renewShare: () => run.context.heartbeats.share(decode.instance.innerAddress),
    // The watch for a stall still ends the stream of an agent that has lost power.
    mayWait: () => hasDelivered(state),
    progress: () => run.emitted.tokenCount,
    hasReplacement: (signal) => hasBidElsewhere({ ...run, signal }, decode.instance.id),
    onEnded: () => link.abort(stopReasons.lapsed),
  });
  try {
    return await openAndRead(state);
  } finally {
    lease.stop();
    watch.stop();
    link.dispose();
  }
}

async function openAndRead(state: StreamState): Promise<AttemptOutcome> {
  const { run, placement, link } = state;
  const { decode } = placement;
  run.mayHaveRun = true;
  const opened = await run.context.agents.openStream(
    decode.instance.innerAddress,
    streamMessage(state),
    { timeoutMs: Math.max(1, run.request.deadlineAtMs - monotonicNowMs()), signal: link.signal },
  );
  if (opened.isErr()) {
    return interruption(state) ?? openFailure(state, opened.error);
  }
  for await (const frame of opened.value) {
    const outcome = onFrame(state, frame);
    if (outcome !== undefined) {
      return outcome;
    }
  }
  return interruption(state) ?? onGuarded(state, state.guard.close()) ?? { kind: 'stopped' };
}

function streamMessage({ run, placement, prefill }: StreamState): StreamRequest {
  const { request, emitted, context } = run;
  return {
    entryId: context.entryId,
    attemptId: placement.decode.attemptId,
    model: request.engineModel,
    prompt: request.prompt,
    source: kvSourceOf(prefill),
    maxOutputTokens: request.maxOutputTokens - emitted.tokenCount,
    emitted: { ...emitted },
    priority: request.trafficClass.priority,
  };
}

function onFrame(state: StreamState, frame: StreamFrame): AttemptOutcome | undefined {
  if (frame.kind === 'end' && frame.load !== undefined) {
    noteLoad(state.run.context, state.placement.decode.instance.id, frame.load);
  }
  return onGuarded(state, state.guard.accept(frame));
}

/** Returns the attempt's outcome if the frame ended it. */
function onGuarded(state: StreamState, guarded: GuardedFrame): AttemptOutcome | undefined {
  switch (guarded.kind) {
    case 'deliver':
      deliver(state, guarded.text, guarded.tokenCount);
      return undefined;
    case 'ignore':
      state.run.context.metrics.countDroppedFrame(droppedCauses[guarded.cause]);
      return undefined;
    case 'complete':
      return complete(state, guarded.finishReason);
    case 'truncated':
      return truncated(state, guarded.cause);
    case 'failed':
      return failed(state, guarded.failure);
    default:
      return assertNever(guarded);
  }
}

function deliver(state: StreamState, text: string, tokenCount: number): void {
  const { run } = state;
  const isFirstOfAttempt = !hasDelivered(state);
  const isFirstOfRequest = run.emitted.tokenCount === 0;
  run.emitted = {
    tokenCount: run.emitted.tokenCount + tokenCount,
    text: run.emitted.text + text,
  };
  observeToken(run, tokenCount);
  state.onProgress(run.emitted.tokenCount);
  if (isFirstOfAttempt) {
    state.onFirstToken();
  }
  if (run.emitted.tokenCount - state.startTokens >= separationEndTokens) {
    state.placement.endSeparation();
  }
  if (isFirstOfRequest) {
    learnFromFirstToken(state);
  }
  run.log.append({ kind: 'tokens', text, tokenCount });
}

function observeToken(run: ModelRun, tokenCount: number): void {
  const { metrics } = run.context;
  const nowMs = monotonicNowMs();
  if (run.firstTokenAtMs === undefined) {
    run.firstTokenAtMs = nowMs;
    const waitedMs = nowMs - run.request.arrivedAtMs;
    metrics.observePhase(requestPhases.firstToken, labelsOf(run.request), waitedMs);
    run.trace.step('first-token');
  } else if (run.lastTokenAtMs !== undefined) {
    const gapMs = (nowMs - run.lastTokenAtMs) / tokenCount;
    metrics.observePhase(requestPhases.betweenTokens, labelsOf(run.request), gapMs);
  }
  run.lastTokenAtMs = nowMs;
}

function complete(state: StreamState, finishReason: FinishReason): AttemptOutcome {
  const { run, placement } = state;
  const { instance } = placement.decode;
  placement.decode.markEnded();
  noteOutcome(run.context, run.request.document.service, instance.id, 'success');
  if (state.startTokens === 0) {
    learnFromResponse(state);
  }
  const outputTokens = run.emitted.tokenCount;
  run.log.append({ kind: 'end', finishReason, outputTokens });
  return { kind: 'completed', outputTokens };
}

function truncated(state: StreamState, cause: string): AttemptOutcome {
  const { run, placement } = state;
  const { instance } = placement.decode;
  noteOutcome(run.context, run.request.document.service, instance.id, 'failure');
  run.trace.step('truncated', { instanceId: instance.id, cause });
  if (run.emitted.tokenCount >= run.request.maxOutputTokens) {
    // Only the end marker is missing: the output limit is reached, so no more tokens can follow.
    return complete(state, 'length');
  }
  return {
    kind: 'failed',
    reason: refusalReasons.incompleteAnswer,
    notRun: hasDelivered(state) ? false : 'unknown',
    dispatched: true,
    detail: `the answer ended before its end marker (${cause})`,
    cause: retryCauses.incompleteAnswer,
  };
}

function failed(state: StreamState, frame: FailedFrame): AttemptFailure {
  const { run, placement } = state;
  const { decode } = placement;
  decode.markEnded();
  run.trace.step('failed', { instanceId: decode.instance.id, ...frame });
  noteRefusal(run.context, run.request.document.service, decode.instance.id, {
    ...frame,
    kind: 'refused',
  });
  if (frame.reason === 'backend-failed') {
    noteOutcome(run.context, run.request.document.service, decode.instance.id, 'failure');
  }
  if (frame.backendDied) {
    reportStrike(run, decode.attemptId, decode.instance.id);
  }
  const notRun = hasDelivered(state) ? false : frame.notRun;
  return failureOfRefusal({ ...frame, notRun }, { dispatched: true });
}

function openFailure(state: StreamState, error: StreamOpenError): AttemptFailure {
  const { context, request, trace } = state.run;
  const { instance } = state.placement.decode;
  trace.step('open-failed', { instanceId: instance.id, error });
  if (error.kind === 'refused') {
    noteRefusal(context, request.document.service, instance.id, error);
    return failureOfRefusal(error, { dispatched: true });
  }
  noteCallError(context, request.document.service, instance.id, error);
  return failureOfCall(error, { dispatched: true });
}

/** Returns the outcome if this process ended the stream: caller, deadline, lease or stall. */
function interruption(state: StreamState): AttemptOutcome | undefined {
  const { run, link, placement } = state;
  if (!link.signal.aborted) {
    return undefined;
  }
  if (run.signal.aborted) {
    return { kind: 'stopped' };
  }
  const { instance } = placement.decode;
  const cause = String(link.signal.reason);
  noteOutcome(run.context, run.request.document.service, instance.id, 'failure');
  run.trace.step('interrupted', { instanceId: instance.id, cause });
  return {
    kind: 'failed',
    reason: refusalReasons.backendFailed,
    notRun: hasDelivered(state) ? false : 'unknown',
    dispatched: true,
    detail:
      cause === stopReasons.lapsed ? 'the lease at the agent ended' : 'the answer made no progress',
    cause: retryCauses.incompleteAnswer,
  };
}

function hasDelivered({ run, startTokens }: StreamState): boolean {
  return run.emitted.tokenCount > startTokens;
}

function watchForStall(run: ModelRun, placement: Placement, link: LinkedAbort) {
  const { streamStallMs, firstFrameStallMs } = run.context.timeouts;
  const nowMs = monotonicNowMs();
  const { prediction } = placement.expected;
  const predictedMs = Math.max(0, placement.usableAtMs - nowMs) + prediction.prefillMs;
  const detector = createStallDetector({
    startedAtMs: nowMs,
    intervalMs: streamStallMs,
    firstProgressMs: firstFrameStallMs + 4 * (predictedMs + prediction.transferMs),
  });
  const timer = setInterval(() => {
    if (detector.check(monotonicNowMs()).kind === 'stalled') {
      link.abort(stopReasons.stalled);
    }
  }, stallCheckMs);
  const startTokens = run.emitted.tokenCount;
  return {
    progress: (totalTokens: number) =>
      detector.progress(totalTokens - startTokens, monotonicNowMs()),
    stop: () => clearInterval(timer),
  };
}
