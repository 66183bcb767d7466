/** One attempt of a plain request at a server. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendResponse, CallOutcome, NotRunCause } from '../backendApi';
import type { CompleteResponse } from '../callerApi';
import { routeKinds, type BackendServer } from '../model';
import { drainBody, readWholeBody } from '../servers/responseBody';
import { forwardBody } from './forwardBody';
import { lostRunCauses, recordLostRun } from './lostRuns';
import type { RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';
import type { Contender } from './runContest';
import { sendRun } from './sendRun';

/** Outcome of one attempt. */
export type Attempt =
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
  /** Another attempt has been answered. */
  | { kind: 'superseded' }
  /** The response was too long to buffer and was streamed to the caller. */
  | { kind: 'forwarded'; isComplete: boolean };

export interface AttemptOptions {
  state: RequestState;
  deps: RouterDependencies;
  /** The attempt among those of the request that are in progress. */
  contender: Contender;
  /** Whether it is made beside another one, whose server is late. */
  isStandby: boolean;
}

const minServerErrorStatus = 500;

/** Ranks outcomes: a server's response comes first, then an outcome after which the request may have run. */
export function betterAttempt(known: Attempt | undefined, attempt: Attempt): Attempt {
  const ranks = {
    forwarded: 6,
    answer: 5,
    'server-failure': 4,
    lost: 3,
    superseded: 2,
    rejected: 1,
    misdirected: 0,
    unreachable: 0,
    withheld: 0,
  };
  return known === undefined || ranks[attempt.kind] > ranks[known.kind] ? attempt : known;
}

/** Sends the request to the server. Another attempt at the same time that is answered first ends this one. */
export async function runAttempt(
  server: BackendServer,
  { state, deps, contender, isStandby }: AttemptOptions,
): Promise<Attempt> {
  const { serverLoads, health } = deps;
  const endLoad = serverLoads.begin(server.id);
  health.beginAttempt(server.id, monotonicNowMs());
  const startedAtMs = monotonicNowMs();
  const signal = AbortSignal.any([state.signal, contender.signal]);
  const { lastEventId } = state.request;
  const outcome = await sendRun(server, state, deps, { signal, lastEventId });
  const attempt = await readAttempt(outcome, state, contender);
  contender.leave();
  endLoad();
  if (isWhole(attempt)) {
    deps.quarantine.noteCompleted(state.identity);
  }
  state.wasMisdirected ||= attempt.kind === 'misdirected';
  if (!hasArrived(attempt)) {
    state.sentCount -= 1;
  }
  const lostDetail = lostDetailOf(attempt);
  if (lostDetail !== undefined) {
    const isOurs = signal.aborted || (outcome.kind === 'lost' && outcome.isOurs);
    const cause = isOurs ? lostRunCauses.router : lostRunCauses.server;
    recordLostRun({ state, server, startedAtMs, cause, detail: lostDetail }, deps);
  }
  // An attempt that was only to replace a late one shows nothing of its server.
  if (!isStandby || !contender.signal.aborted) {
    recordHealth(server, attempt, state, deps);
  }
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
  if (attempt.kind === 'superseded') {
    return 'another attempt was answered';
  }
  return attempt.kind === 'lost' ? attempt.detail : undefined;
}

async function readAttempt(
  outcome: CallOutcome<BackendResponse>,
  state: RequestState,
  contender: Contender,
): Promise<Attempt> {
  if (outcome.kind === 'lost' && contender.signal.aborted) {
    return { kind: 'superseded' };
  }
  switch (outcome.kind) {
    case 'not-run':
      return notRunAttempt(outcome.cause);
    case 'lost':
      return { kind: 'lost', detail: outcome.detail };
    case 'done':
      return readResponse(outcome.value, state, contender);
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

async function readResponse(
  response: BackendResponse,
  state: RequestState,
  contender: Contender,
): Promise<Attempt> {
  const { status, headers, isSealed } = response;
  if (!isSealed) {
    await drainBody(response.body);
    return { kind: 'lost', detail: `unsealed answer ${status}` };
  }
  const isStream = state.route.kind === routeKinds.stream;
  const bodyRead = await readWholeBody(response.body, isStream ? 0 : undefined);
  if (bodyRead.kind === 'lost') {
    return contender.signal.aborted
      ? { kind: 'superseded' }
      : { kind: 'lost', detail: bodyRead.detail };
  }
  // A failure that is too long to be kept is passed on at once, like an answer.
  const isFailure =
    bodyRead.kind === 'whole' && status >= minServerErrorStatus && state.mayRepeat();
  if (!isFailure && !contender.claim()) {
    response.body.abandon('another attempt was answered');
    return { kind: 'superseded' };
  }
  if (bodyRead.kind === 'long') {
    const writer = state.exchange.startResponse(status, headers);
    const forwarded = await forwardBody(writer, bodyRead.start, bodyRead.rest);
    return { kind: 'forwarded', isComplete: forwarded.kind === 'whole' };
  }
  const completeResponse = { status, headers, body: bodyRead.body };
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
