/** Serves a request of a plain route: one complete response, with further attempts where the route allows them. */
import { monotonicNowMs, startPauseTolerantTimer } from '@bluebellhitch/shared';
import { notRunReasons, type BackendServer, type NotRunReason, type Refusal } from '../model';
import {
  attemptCauses,
  reserveFurtherAttempt,
  takeFurtherAttempt,
  type AttemptInReserve,
} from './furtherAttempts';
import { betterAttempt, runAttempt, type Attempt } from './plainAttempt';
import { choosePlainServer, defaultRetryAfterMs, type PlainChoice } from './plainChoice';
import {
  createLostRefusal,
  noteStep,
  reasonNotToSend,
  remainingMs,
  type NotSendable,
  type RequestState,
} from './requestState';
import type { RouterDependencies } from './routerDependencies';
import { createRunContest, type Contender, type RunContest } from './runContest';
import { createStandby } from './standby';

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

interface PlainRun {
  state: RequestState;
  deps: RouterDependencies;
  /** All attempts in progress. */
  contest: RunContest;
}

/**
 * An attempt that has not been answered within this multiple of the route's target latency is late: another server may be
 * tried beside it. It is not ended, since no other server may be free, and its own may be about to answer.
 */
const lateFactor = 2.5;
const minLateShare = 0.4;
const lateCheckIntervalMs = 100;

export async function servePlain(state: RequestState, deps: RouterDependencies): Promise<void> {
  const progress: PlainProgress = {};
  const run: PlainRun = { state, deps, contest: createRunContest() };
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
    const attempt = await runWithStandby(server, run, run.contest.enter());
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

/** Makes the attempt; while its server is late, tries to have the request answered by another one. */
async function runWithStandby(
  server: BackendServer,
  run: PlainRun,
  contender: Contender,
  isStandby = false,
): Promise<Attempt> {
  const { state, deps } = run;
  const standby = createStandby({
    begin: (lateMs) => beginStandby(server, run, lateMs),
    better: betterAttempt,
  });
  const stopWatching = watchLateness(state, standby.noteSilent);
  const attempt = await runAttempt(server, { state, deps, contender, isStandby });
  stopWatching();
  noteStep(state, `${server.id} ${attempt.kind}`);
  // The other attempt has been ended; it may still wait for a permit of another router.
  if (attempt.kind === 'answer' || attempt.kind === 'forwarded') {
    return attempt;
  }
  const other = await standby.outcome();
  return other === undefined ? attempt : betterAttempt(attempt, other);
}

/** Begins another attempt if the route and the budget allow it; undefined otherwise. */
function beginStandby(
  { id }: BackendServer,
  run: PlainRun,
  lateMs: number,
): Promise<Attempt> | undefined {
  const { state, deps, contest } = run;
  // A response that is being passed on is not late, however long that takes.
  const mayBegin =
    !contest.hasWinner() &&
    state.mayRepeat() &&
    state.sentCount < state.route.maxAttempts &&
    reasonNotToSend(state) === undefined;
  const reserved = mayBegin ? reserveFurtherAttempt(state, attemptCauses.failed, deps) : undefined;
  if (reserved === undefined) {
    return undefined;
  }
  noteStep(state, `${id} late after ${Math.round(lateMs)}ms, standby`);
  state.failedServerIds.add(id);
  return runStandby(run, reserved);
}

async function runStandby(run: PlainRun, reserved: AttemptInReserve): Promise<Attempt> {
  const contender = run.contest.enter();
  const choice = await choosePlainServer(run.state, run.deps);
  const mayRun = choice.kind === 'chosen' && !contender.signal.aborted && reserved.use();
  if (!mayRun) {
    reserved.release();
    contender.leave();
    return { kind: 'withheld' };
  }
  const attempt = await runWithStandby(choice.server, run, contender, true);
  run.state.failedServerIds.add(choice.server.id);
  return attempt;
}

/** Reports an attempt that is late, again and again, if another server may be tried; call the result at its end. */
function watchLateness(state: RequestState, onLate: (lateMs: number) => void): () => void {
  const { route } = state;
  if (!state.mayRepeat() || route.maxAttempts <= 1) {
    return () => undefined;
  }
  const startedAtMs = monotonicNowMs();
  const check = () => onLate(monotonicNowMs() - startedAtMs);
  let checks: NodeJS.Timeout | undefined;
  const lateAfterMs = Math.max(
    lateFactor * route.targetLatencyMs,
    minLateShare * remainingMs(state),
  );
  const timer = startPauseTolerantTimer(lateAfterMs, () => {
    check();
    checks = setInterval(check, lateCheckIntervalMs);
  });
  return () => {
    timer.stop();
    clearInterval(checks);
  };
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
    case 'superseded':
      return false;
    case 'server-failure':
    case 'lost':
      return state.mayRepeat();
  }
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
  if (best?.kind === 'lost' || best?.kind === 'superseded') {
    return createLostRefusal(state, best.kind === 'lost' ? best.detail : 'not answered');
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
