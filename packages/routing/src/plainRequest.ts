/** Serves a request of a plain route: one whole answer, with further attempts where it may be repeated. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendAnswer, CallOutcome, NotRunCause } from './backendApi';
import type { WholeAnswer } from './callerApi';
import { forwardBody } from './forwardBody';
import {
  notRunReasons,
  routeKinds,
  type BackendServer,
  type NotRunReason,
  type Refusal,
} from './model';
import { choosePlainServer, usualRetryAfterMs, type PlainChoice } from './plainChoice';
import { lostRefusal, noteStep, remainingMs, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';
import { drainBody, readWholeBody } from './wholeBody';

/** What became of one attempt. */
type Attempt =
  | { kind: 'answer'; answer: WholeAnswer }
  /** The server's own failure: passed on unless a further attempt does better. */
  | { kind: 'server-failure'; answer: WholeAnswer }
  | { kind: 'unreachable' }
  /** The server wanted nothing more when it was to be sent. */
  | { kind: 'withheld' }
  /** The address is another server's by now. */
  | { kind: 'misdirected' }
  | { kind: 'rejected' }
  | { kind: 'lost'; detail: string }
  /** The answer was too long to be held and has gone to the caller as it came. */
  | { kind: 'forwarded'; isWhole: boolean };

type ClosedChoice = Extract<PlainChoice, { retryAfterMs: number }>;

/** What a request has come to so far. */
interface PlainEnd {
  /** Of its attempts. */
  best?: Attempt;
  /** Why none is left for the next one, by the servers' own words. */
  closed?: ClosedChoice;
}

const firstServerError = 500;
/**
 * A server that has not begun its answer after this many times the route's target is not waited for any
 * longer where another one may be asked.
 */
const attemptPatience = 2.5;
const leastPatienceShare = 0.4;

export async function servePlain(state: RequestState, parts: RouterParts): Promise<void> {
  const end: PlainEnd = {};
  while (remainingMs(state) > 0 && !state.exchange.signal.aborted) {
    const choice = await choosePlainServer(state, parts);
    if (choice.kind === 'limited' || choice.kind === 'resting') {
      end.closed = choice;
    }
    if (choice.kind !== 'chosen' || !state.mayStillRun() || !mayAttempt(state, parts)) {
      break;
    }
    const { server } = choice;
    const attempt = await attemptAt(server, state, parts);
    noteStep(state, `${server.id} ${attempt.kind}`);
    if (attempt.kind === 'answer') {
      state.exchange.answer(attempt.answer);
      return;
    }
    if (attempt.kind === 'forwarded') {
      return;
    }
    state.failedServerIds.add(server.id);
    end.best = better(end.best, attempt);
    if (!mayFollow(state, attempt)) {
      break;
    }
  }
  finish(state, end);
}

/** Takes a further attempt out of the budget; the first that arrives anywhere is free. */
function mayAttempt(state: RequestState, { budget, metrics }: RouterParts): boolean {
  if (state.sentCount === 0 && !state.wasMisdirected) {
    return true;
  }
  const isAllowed =
    (state.sentCount === 0 || state.sentCount < state.route.maxAttempts) &&
    budget.tryTake(state.service.name, monotonicNowMs());
  if (isAllowed) {
    metrics.countFurtherAttempt(state.service.name, 'failed');
  }
  return isAllowed;
}

function mayFollow(state: RequestState, attempt: Attempt): boolean {
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

/** An answer of a server tells more than none; that it may have run outweighs that it did not. */
function better(known: Attempt | undefined, attempt: Attempt): Attempt {
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

function finish(state: RequestState, end: PlainEnd): void {
  const { best } = end;
  if (best?.kind === 'answer' || best?.kind === 'server-failure') {
    state.exchange.answer(best.answer);
    return;
  }
  state.exchange.refuse(refusalOf(state, end));
}

function refusalOf(state: RequestState, { best, closed }: PlainEnd): Refusal {
  if (best?.kind === 'lost') {
    return lostRefusal(state, best.detail);
  }
  // One that has turned the request away for want of room may have room soon, whatever limits the others name.
  const isOpen = closed === undefined || (best?.kind === 'rejected' && closed.kind === 'limited');
  return {
    kind: 'not-run',
    reason: reasonNotRun(state, { best, closed }),
    retryAfterMs: isOpen ? usualRetryAfterMs : closed.retryAfterMs,
  };
}

function reasonNotRun({ mayStillRun }: RequestState, { best, closed }: PlainEnd): NotRunReason {
  if (best?.kind === 'rejected') {
    return notRunReasons.rejected;
  }
  if (closed !== undefined) {
    return notRunReasons.overloaded;
  }
  return mayStillRun() ? notRunReasons.noServer : notRunReasons.staleConfiguration;
}

async function attemptAt(
  server: BackendServer,
  state: RequestState,
  parts: RouterParts,
): Promise<Attempt> {
  const { backend, serverLoads, health } = parts;
  const endLoad = serverLoads.begin(server.id);
  health.beginAttempt(server.id, monotonicNowMs());
  const leftMs = remainingMs(state);
  const outcome = await backend.run(server, state.request, {
    remainingMs: leftMs,
    headTimeoutMs: headTimeoutMs(state, leftMs),
    signal: state.signal,
    lastEventId: state.request.lastEventId,
  });
  const attempt = await readAttempt(outcome, state);
  endLoad();
  state.wasMisdirected ||= attempt.kind === 'misdirected';
  if (hasArrived(attempt)) {
    state.sentCount += 1;
  }
  recordHealth(server, attempt, state, parts);
  return attempt;
}

function hasArrived({ kind }: Attempt): boolean {
  return kind !== 'unreachable' && kind !== 'withheld' && kind !== 'misdirected';
}

/** The last attempt has all the time that is left; one before it leaves some for the next. */
function headTimeoutMs({ route, sentCount }: RequestState, leftMs: number): number {
  const isLast = sentCount + 1 >= route.maxAttempts;
  if (isLast || route.kind !== routeKinds.idempotent) {
    return leftMs;
  }
  return Math.max(attemptPatience * route.targetLatencyMs, leastPatienceShare * leftMs);
}

async function readAttempt(
  outcome: CallOutcome<BackendAnswer>,
  state: RequestState,
): Promise<Attempt> {
  switch (outcome.kind) {
    case 'not-run':
      return notRunAttempt(outcome.cause);
    case 'lost':
      return { kind: 'lost', detail: outcome.detail };
    case 'done':
      return readAnswer(outcome.value, state);
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

async function readAnswer(answer: BackendAnswer, state: RequestState): Promise<Attempt> {
  const { status, headers, isSealed } = answer;
  if (!isSealed) {
    await drainBody(answer.body);
    return { kind: 'lost', detail: `unsealed answer ${status}` };
  }
  const isStream = state.route.kind === routeKinds.stream;
  const read = await readWholeBody(answer.body, isStream ? 0 : undefined);
  if (read.kind === 'lost') {
    return { kind: 'lost', detail: read.detail };
  }
  if (read.kind === 'long') {
    const writer = state.exchange.begin(status, headers);
    const forwarded = await forwardBody(writer, read.start, read.rest);
    return { kind: 'forwarded', isWhole: forwarded.kind === 'whole' };
  }
  const whole = { status, headers, body: read.body };
  const isFailure = status >= firstServerError && state.route.kind === routeKinds.idempotent;
  return { kind: isFailure ? 'server-failure' : 'answer', answer: whole };
}

function recordHealth(
  server: BackendServer,
  attempt: Attempt,
  state: RequestState,
  { health }: RouterParts,
): void {
  if (attempt.kind === 'withheld') {
    return;
  }
  const callerLeft = state.exchange.signal.aborted;
  const isSuccess =
    attempt.kind === 'rejected' ||
    (attempt.kind === 'forwarded' && attempt.isWhole) ||
    (attempt.kind === 'answer' && attempt.answer.status < firstServerError);
  if (isSuccess || !callerLeft) {
    health.record(server.id, isSuccess ? 'success' : 'failure', monotonicNowMs());
  }
}
