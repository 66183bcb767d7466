/** The runs of one stream that are in progress: usually one, and while its server is silent another one beside it. */
import { stages } from '../model';
import { attemptCauses, reserveFurtherAttempt } from './furtherAttempts';
import { noteStep, reasonNotToSend } from './requestState';
import { createStandby } from './standby';
import {
  runPlaced,
  type ActiveRun,
  type RunOutcome,
  type StandbyRole,
  type StreamRun,
} from './streamRun';

/** Runs the stream; while its server is silent, tries to have it continued on another one. */
export async function runStream(run: StreamRun): Promise<RunOutcome> {
  let silentServerId = '';
  const ended = new AbortController();
  const standby = createStandby({
    begin: (silentMs) =>
      beginStandby(run, { serverId: silentServerId, runEnd: ended.signal }, silentMs),
    better: betterOutcome,
  });
  const outcome = await runContender(run, (serverId, silentMs) => {
    silentServerId = serverId;
    standby.noteSilent(silentMs);
  });
  // A server that has failed the stream is not asked again: the other run may wait for memory at another one.
  if (outcome.kind !== 'failed' || !hasOtherEngines(run)) {
    ended.abort();
  }
  const other = await standby.outcome();
  return other === undefined ? outcome : betterOutcome(outcome, other);
}

/** Whether there are engines that have not failed the stream. */
function hasOtherEngines({ state, deps }: StreamRun): boolean {
  return deps.pools
    .usable(state.service.name, stages.decode)
    .some(({ id }) => !state.failedServerIds.has(id));
}

/** Ranks outcomes of runs beside each other: a run that may have done work must not be taken for one that has not. */
function betterOutcome(known: RunOutcome, other: RunOutcome): RunOutcome {
  const ranks = { ended: 4, broken: 3, failed: 2, superseded: 1, 'not-run': 0 };
  return ranks[other.kind] > ranks[known.kind] ? other : known;
}

/** Begins another run if the route and the budget allow it; undefined otherwise. */
function beginStandby(
  run: StreamRun,
  silent: { serverId: string; runEnd: AbortSignal },
  silentMs: number,
): Promise<RunOutcome> | undefined {
  const { state, deps } = run;
  const { route, sentCount } = state;
  const mayBegin =
    state.mayRepeat() && sentCount < route.maxAttempts && reasonNotToSend(state) === undefined;
  const attempt = mayBegin ? reserveFurtherAttempt(state, attemptCauses.resume, deps) : undefined;
  if (attempt === undefined) {
    return undefined;
  }
  noteStep(state, `${silent.serverId} silent for ${Math.round(silentMs)}ms, standby`);
  const standby: StandbyRole = {
    avoidedServerIds: [...(run.standby?.avoidedServerIds ?? []), silent.serverId],
    silentRunEnd: silent.runEnd,
  };
  return runStandby({ ...run, standby, attempt });
}

async function runStandby(run: StreamRun): Promise<RunOutcome> {
  const outcome = await runStream(run);
  run.attempt?.release();
  noteStep(run.state, `standby ${outcome.kind}`);
  return outcome;
}

async function runContender(run: StreamRun, onSilent: ActiveRun['onSilent']): Promise<RunOutcome> {
  const contender = run.contest.enter();
  const signal = AbortSignal.any([run.state.signal, contender.signal]);
  const outcome = await runPlaced({ ...run, contender, signal, onSilent });
  contender.leave();
  return contender.signal.aborted && outcome.kind !== 'ended' ? { kind: 'superseded' } : outcome;
}
