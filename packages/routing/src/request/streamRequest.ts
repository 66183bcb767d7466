/**
 * Serves a request of a stream route in one or more runs. If the route allows it, a stream that breaks is resumed by
 * the next run, within the same response.
 */
import { notRunReasons, type EngineSettings, type Refusal } from '../model';
import { attemptCauses, reserveFurtherAttempt, type AttemptInReserve } from './furtherAttempts';
import type { PrefillStage } from './prefillStage';
import {
  createLostRefusal,
  noteStep,
  reasonNotToSend,
  remainingMs,
  type RequestState,
} from './requestState';
import type { RouterDependencies } from './routerDependencies';
import { createRunContest } from './runContest';
import { createStreamRelay, type StreamRelay } from './streamRelay';
import type { RunOutcome, StreamRun } from './streamRun';
import { runStream } from './streamRuns';

/** Default Retry-After: by then other servers have usually taken over from one that failed. */
const defaultRetryAfterMs = 1_200;
/** Runs that are tried for one request; each of them waits for memory again. */
const maxRounds = 3;

export async function serveStream(
  state: RequestState,
  engine: EngineSettings,
  deps: RouterDependencies,
  prefillStage: PrefillStage,
): Promise<void> {
  const relay = createStreamRelay(state);
  const contest = createRunContest();
  const size = state.request.prompt ?? { promptTokens: 1, maxOutputTokens: 1 };
  let outcome: RunOutcome = { kind: 'not-run', reason: notRunReasons.noServer };
  const first: StreamRun = { state, engine, deps, prefillStage, relay, size, contest };
  let next: StreamRun | undefined = first;
  for (let round = 1; next !== undefined && isCallerWaiting(state); round += 1) {
    outcome = await runStream(next);
    next.attempt?.release();
    noteStep(state, 'detail' in outcome ? `${outcome.kind}: ${outcome.detail}` : outcome.kind);
    const attempt = round < maxRounds ? reserveRetry(state, outcome, deps) : undefined;
    next = attempt && { ...first, attempt };
  }
  next?.attempt?.release();
  state.pauses = relay.pauses();
  state.softwareVersions = relay.softwareVersions();
  finish(state, relay, outcome);
}

function isCallerWaiting(state: RequestState): boolean {
  return remainingMs(state) > 0 && !state.exchange.signal.aborted;
}

/** Sets an attempt aside for another run, which may wait for memory before it is sent; undefined if there is none. */
function reserveRetry(
  state: RequestState,
  outcome: RunOutcome,
  deps: RouterDependencies,
): AttemptInReserve | undefined {
  switch (outcome.kind) {
    case 'ended':
    case 'superseded':
    case 'failed':
      return undefined;
    case 'not-run':
      // The server refused the run after the reservation. Nothing has run, so a retry is safe on any route.
      return outcome.reason === notRunReasons.rejected
        ? reserveFurtherAttempt(state, attemptCauses.rejected, deps)
        : undefined;
    case 'broken': {
      const mayResume =
        state.mayRepeat() &&
        state.sentCount < state.route.maxAttempts &&
        reasonNotToSend(state) === undefined;
      return mayResume ? reserveFurtherAttempt(state, attemptCauses.resume, deps) : undefined;
    }
  }
}

function finish(state: RequestState, relay: StreamRelay, outcome: RunOutcome): void {
  if (outcome.kind === 'ended') {
    return;
  }
  if (relay.hasStarted()) {
    relay.abort();
    return;
  }
  if (!relay.forwardFailure()) {
    state.exchange.refuse(createRefusal(state, outcome));
  }
}

function createRefusal(
  state: RequestState,
  outcome: Exclude<RunOutcome, { kind: 'ended' }>,
): Refusal {
  if ('detail' in outcome) {
    return createLostRefusal(state, outcome.detail);
  }
  if (outcome.kind === 'superseded' || state.sentCount > 0) {
    return createLostRefusal(state, 'not resumed');
  }
  const { reason, retryAfterMs = defaultRetryAfterMs } = outcome;
  return { kind: 'not-run', reason, retryAfterMs };
}
