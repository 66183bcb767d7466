/**
 * Serves a request of a stream route in one or more runs. A stream that breaks goes on in the next run where the
 * route allows it, inside the same answer.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { notRunReasons, type EngineSettings, type Refusal } from './model';
import type { PrefillStage } from './prefillStage';
import { lostRefusal, noteStep, remainingMs, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';
import { createStreamRelay, type StreamRelay } from './streamRelay';
import { runStream, type RunOutcome } from './streamRun';

/** Callers that lost their place to a server's failure come back when others have taken over. */
const defaultRetryAfterMs = 1_200;
/** Places that are tried for one request; each try waits for memory anew. */
const maxRounds = 3;

export async function serveStream(
  state: RequestState,
  engine: EngineSettings,
  parts: RouterParts,
  prefillStage: PrefillStage,
): Promise<void> {
  const relay = createStreamRelay(state);
  const size = state.request.prompt ?? { promptTokens: 1, maxOutputTokens: 1 };
  let outcome: RunOutcome = { kind: 'not-run', reason: notRunReasons.noServer };
  let mayGoOn = true;
  for (let round = 1; mayGoOn && isWanted(state); round += 1) {
    outcome = await runStream({ state, engine, parts, prefillStage, relay, size });
    noteStep(state, outcome.kind === 'broken' ? `broken: ${outcome.detail}` : outcome.kind);
    mayGoOn = round < maxRounds && mayTryAgain(state, outcome, parts);
  }
  finish(state, relay, outcome);
}

function isWanted(state: RequestState): boolean {
  return remainingMs(state) > 0 && !state.exchange.signal.aborted;
}

function mayTryAgain(state: RequestState, outcome: RunOutcome, parts: RouterParts): boolean {
  switch (outcome.kind) {
    case 'ended':
      return false;
    case 'not-run':
      // Its place was lost between the reservation and the run: nothing has run, so any route may go on.
      return outcome.reason === notRunReasons.rejected && takeAttempt(state, 'rejected', parts);
    case 'broken':
      return (
        state.route.allowsResume &&
        state.sentCount < state.route.maxAttempts &&
        takeAttempt(state, 'resume', parts)
      );
  }
}

function takeAttempt(
  state: RequestState,
  cause: string,
  { budget, metrics }: RouterParts,
): boolean {
  const { name } = state.service;
  const isAllowed = budget.tryTake(name, monotonicNowMs());
  if (isAllowed) {
    metrics.countFurtherAttempt(name, cause);
  }
  return isAllowed;
}

function finish(state: RequestState, relay: StreamRelay, outcome: RunOutcome): void {
  if (outcome.kind === 'ended') {
    return;
  }
  if (relay.hasBegun()) {
    relay.cut();
    return;
  }
  const refusal: Refusal =
    outcome.kind === 'broken' || state.sentCount > 0
      ? lostRefusal(state, outcome.kind === 'broken' ? outcome.detail : 'not resumed')
      : {
          kind: 'not-run',
          reason: outcome.reason,
          retryAfterMs: outcome.retryAfterMs ?? defaultRetryAfterMs,
        };
  state.exchange.refuse(refusal);
}
