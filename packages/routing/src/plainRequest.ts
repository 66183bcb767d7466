/** Serves a request of a plain route: one complete response, with further attempts where the route allows them. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendResponse, CallOutcome, NotRunCause } from './backendApi';
import type { CompleteResponse } from './callerApi';
import { forwardBody } from './forwardBody';
import { attemptCauses, takeFurtherAttempt } from './furtherAttempts';
import { lostRunCauses, recordLostRun } from './lostRuns';
import {
  notRunReasons,
  routeKinds,
  type BackendServer,
  type NotRunReason,
  type Refusal,
} from './model';
import { choosePlainServer, defaultRetryAfterMs, type PlainChoice } from './plainChoice';
import {
  createLostRefusal,
  maySend,
  noteStep,
  reasonNotToSend,
  remainingMs,
  type NotSendable,
  type RequestState,
} from './requestState';
import type { RouterDependencies } from './routerDependencies';
import { drainBody, readWholeBody } from './responseBody';

/** Outcome of one attempt. */
type Attempt =
  | { kind: 'answer'; response: CompleteResponse }
  /** An error response of the server; forwarded unless a further attempt has a better outcome. */
  | { kind: 'server-failure'; response: CompleteResponse }
  | { kind: 'unreachable' }
  /** Not sent: by then the server no longer accepted requests. */
  | { kind: 'withheld' }
  /** The address now belongs to another server. */
  | { kind: 'misdirected' }
  | { kind: 'rejected' }
  | { kind: 'lost'; detail: string }
  /** The response was too long to buffer and was streamed to the caller. */
  | { kind: 'forwarded'; isComplete: boolean };

type UnavailableChoice = Extract<PlainChoice, { retryAfterMs: number }>;

/** State of a request between its attempts. */
interface PlainProgress {
  /** The best outcome so far. */
  best?: Attempt;
  /** Why no server accepts the next attempt, by the servers' own notices. */
  unavailable?: UnavailableChoice;
  /** Why the request may not be sent any more. */
  withheld?: NotSendable;
}

const minServerErrorStatus = 500;
/**
 * An attempt that has not started its response within this multiple of the route's target latency times out, if another
 * server may be tried.
 */
const attemptTimeoutFactor = 2.5;
const minTimeoutShare = 0.4;

export async function servePlain(state: RequestState, deps: RouterDependencies): Promise<void> {
  const progress: PlainProgress = {};
  while (remainingMs(state) > 0 && !state.exchange.signal.aborted) {
    const choice = await choosePlainServer(state, deps);
    if (choice.kind === 'limited' || choice.kind === 'resting') {
      progress.unavailable = choice;
    }
    progress.withheld = reasonNotToSend(state);
    if (choice.kind !== 'chosen' || progress.withheld !== undefined || !mayAttempt(state, deps)) {
      break;
    }
    const { server } = choice;
    const attempt = await runAttempt(server, state, deps);
    noteStep(state, `${server.id} ${attempt.kind}`);
    if (attempt.kind === 'answer') {
      state.exchange.respond(attempt.response);
      return;
    }
    if (attempt.kind === 'forwarded') {
      return;
    }
    state.failedServerIds.add(server.id);
    progress.best = betterAttempt(progress.best, attempt);
    if (!mayRetry(state, attempt)) {
      break;
    }
  }
  finish(state, progress);
}

/** Takes a further attempt from the budget; the first one that reaches a server is free. */
function mayAttempt(state: RequestState, deps: RouterDependencies): boolean {
  if (state.sentCount === 0 && !state.wasMisdirected) {
    return true;
  }
  const isWithinRoute = state.sentCount === 0 || state.sentCount < state.route.maxAttempts;
  return isWithinRoute && takeFurtherAttempt(state, attemptCauses.failed, deps);
}

function mayRetry(state: RequestState, attempt: Attempt): boolean {
  switch (attempt.kind) {
    case 'unreachable':
    case 'withheld':
    case 'misdirected':
    case 'rejected':
      return true;
    case 'answer':
    case 'forwarded':
      return false;
    case 'server-failure':
    case 'lost':
      return state.route.kind === routeKinds.idempotent;
  }
}

/** Ranks outcomes: a server's response comes first, then an outcome after which the request may have run. */
function betterAttempt(known: Attempt | undefined, attempt: Attempt): Attempt {
  const ranks = {
    forwarded: 5,
    answer: 4,
    'server-failure': 3,
    lost: 2,
    rejected: 1,
    misdirected: 0,
    unreachable: 0,
    withheld: 0,
  };
  return known === undefined || ranks[attempt.kind] > ranks[known.kind] ? attempt : known;
}

function finish(state: RequestState, progress: PlainProgress): void {
  const { best } = progress;
  if (best?.kind === 'answer' || best?.kind === 'server-failure') {
    state.exchange.respond(best.response);
    return;
  }
  state.exchange.refuse(createRefusal(state, progress));
}

function createRefusal(state: RequestState, progress: PlainProgress): Refusal {
  const { best, unavailable, withheld } = progress;
  if (best?.kind === 'lost') {
    return createLostRefusal(state, best.detail);
  }
  if (withheld !== undefined) {
    return { kind: 'not-run', retryAfterMs: defaultRetryAfterMs, ...withheld };
  }
  // A server that rejected the request for lack of capacity may have some soon, whatever limits the others state.
  const usesDefaultDelay =
    unavailable === undefined || (best?.kind === 'rejected' && unavailable.kind === 'limited');
  return {
    kind: 'not-run',
    reason: reasonNotRun(progress),
    retryAfterMs: usesDefaultDelay ? defaultRetryAfterMs : unavailable.retryAfterMs,
  };
}

function reasonNotRun({ best, unavailable }: PlainProgress): NotRunReason {
  if (best?.kind === 'rejected') {
    return notRunReasons.rejected;
  }
  return unavailable === undefined ? notRunReasons.noServer : notRunReasons.overloaded;
}

async function runAttempt(
  server: BackendServer,
  state: RequestState,
  deps: RouterDependencies,
): Promise<Attempt> {
  const { backend, serverLoads, health } = deps;
  const endLoad = serverLoads.begin(server.id);
  health.beginAttempt(server.id, monotonicNowMs());
  const startedAtMs = monotonicNowMs();
  const availableMs = remainingMs(state);
  state.lastSentAtMs = startedAtMs;
  const outcome = await backend.run(server, state.request, {
    remainingMs: availableMs,
    headTimeoutMs: headTimeoutMs(state, availableMs),
    maySend: () => maySend(state),
    signal: state.signal,
    lastEventId: state.request.lastEventId,
  });
  const attempt = await readAttempt(outcome, state);
  endLoad();
  if (isWhole(attempt)) {
    deps.quarantine.noteCompleted(state.identity);
  }
  state.wasMisdirected ||= attempt.kind === 'misdirected';
  if (hasArrived(attempt)) {
    state.sentCount += 1;
  }
  const lostDetail = lostDetailOf(attempt);
  if (lostDetail !== undefined) {
    const isOurs = state.signal.aborted || (outcome.kind === 'lost' && outcome.isOurs);
    const cause = isOurs ? lostRunCauses.router : lostRunCauses.server;
    recordLostRun({ state, server, startedAtMs, cause, detail: lostDetail }, deps);
  }
  recordHealth(server, attempt, state, deps);
  return attempt;
}

function hasArrived({ kind }: Attempt): boolean {
  return kind !== 'unreachable' && kind !== 'withheld' && kind !== 'misdirected';
}

/** Whether the server has run the request to its end. */
function isWhole(attempt: Attempt): boolean {
  return attempt.kind === 'forwarded'
    ? attempt.isComplete
    : attempt.kind === 'answer' || attempt.kind === 'server-failure';
}

/** Why the attempt's response was lost, wholly or in part; undefined if it was not. */
function lostDetailOf(attempt: Attempt): string | undefined {
  if (attempt.kind === 'forwarded' && !attempt.isComplete) {
    return 'lost after a part was forwarded';
  }
  return attempt.kind === 'lost' ? attempt.detail : undefined;
}

/** The last attempt may use all of the remaining time; earlier ones leave some for the next. */
function headTimeoutMs({ route, sentCount }: RequestState, availableMs: number): number {
  const isLast = sentCount + 1 >= route.maxAttempts;
  if (isLast || route.kind !== routeKinds.idempotent) {
    return availableMs;
  }
  return Math.max(attemptTimeoutFactor * route.targetLatencyMs, minTimeoutShare * availableMs);
}

async function readAttempt(
  outcome: CallOutcome<BackendResponse>,
  state: RequestState,
): Promise<Attempt> {
  switch (outcome.kind) {
    case 'not-run':
      return notRunAttempt(outcome.cause);
    case 'lost':
      return { kind: 'lost', detail: outcome.detail };
    case 'done':
      return readResponse(outcome.value, state);
  }
}

function notRunAttempt(cause: NotRunCause): Attempt {
  switch (cause.kind) {
    case 'rejected':
      return { kind: 'rejected' };
    case 'other-server':
      return { kind: 'misdirected' };
    case 'unreachable':
    case 'withheld':
      return { kind: cause.kind };
  }
}

async function readResponse(response: BackendResponse, state: RequestState): Promise<Attempt> {
  const { status, headers, isSealed } = response;
  if (!isSealed) {
    await drainBody(response.body);
    return { kind: 'lost', detail: `unsealed answer ${status}` };
  }
  const isStream = state.route.kind === routeKinds.stream;
  const bodyRead = await readWholeBody(response.body, isStream ? 0 : undefined);
  if (bodyRead.kind === 'lost') {
    return { kind: 'lost', detail: bodyRead.detail };
  }
  if (bodyRead.kind === 'long') {
    const writer = state.exchange.startResponse(status, headers);
    const forwarded = await forwardBody(writer, bodyRead.start, bodyRead.rest);
    return { kind: 'forwarded', isComplete: forwarded.kind === 'whole' };
  }
  const completeResponse = { status, headers, body: bodyRead.body };
  const isFailure = status >= minServerErrorStatus && state.route.kind === routeKinds.idempotent;
  return { kind: isFailure ? 'server-failure' : 'answer', response: completeResponse };
}

function recordHealth(
  server: BackendServer,
  attempt: Attempt,
  state: RequestState,
  { health }: RouterDependencies,
): void {
  if (attempt.kind === 'withheld') {
    return;
  }
  const hasCallerLeft = state.exchange.signal.aborted;
  const isSuccess =
    attempt.kind === 'rejected' ||
    (attempt.kind === 'forwarded' && attempt.isComplete) ||
    (attempt.kind === 'answer' && attempt.response.status < minServerErrorStatus);
  if (isSuccess || !hasCallerLeft) {
    health.record(server.id, isSuccess ? 'success' : 'failure', monotonicNowMs());
  }
}
