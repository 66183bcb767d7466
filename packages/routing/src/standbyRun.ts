/**
 * Keeps a stream going whose server is silent: tries to have it continued on another server, without ending the silent
 * run before the other one has an event for the caller. The silent server may be sound and go on at any moment, and the
 * other run may find no memory, no server of the stream's version or no further attempt.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { attemptCauses, reserveFurtherAttempt } from './furtherAttempts';
import { noteStep, reasonNotToSend } from './requestState';
import type { RunOutcome, StandbyRole, StreamRun } from './streamRun';

export interface StandbyRun {
  /** The run has been silent at this server for some time; may be called again and again. */
  noteSilent(serverId: string, silentMs: number): void;
  /** Resolves with the outcome of the last standby run; undefined if there was none. */
  outcome(): Promise<RunOutcome> | undefined;
}

/** Starts another run of the same stream. */
export type BeginStandby = (role: StandbyRole) => Promise<RunOutcome>;

/** Between two tries: memory elsewhere or a further attempt may be free by then. */
const retryIntervalMs = 500;

export function createStandbyRun(
  { state, deps }: Pick<StreamRun, 'state' | 'deps'>,
  begin: BeginStandby,
): StandbyRun {
  let isInProgress = false;
  let latest: Promise<RunOutcome> | undefined;
  let nextTryAtMs = -Infinity;

  function mayBegin(): boolean {
    const { route, sentCount } = state;
    return (
      !isInProgress &&
      monotonicNowMs() >= nextTryAtMs &&
      route.allowsResume &&
      sentCount < route.maxAttempts &&
      reasonNotToSend(state) === undefined
    );
  }

  async function run(role: StandbyRole): Promise<RunOutcome> {
    isInProgress = true;
    const outcome = await begin(role);
    isInProgress = false;
    role.attempt.release();
    nextTryAtMs = monotonicNowMs() + retryIntervalMs;
    noteStep(state, `standby ${outcome.kind}`);
    return outcome;
  }

  return {
    noteSilent(avoidedServerId, silentMs) {
      if (!mayBegin()) {
        return;
      }
      nextTryAtMs = monotonicNowMs() + retryIntervalMs;
      const attempt = reserveFurtherAttempt(state, attemptCauses.resume, deps);
      if (attempt !== undefined) {
        noteStep(state, `${avoidedServerId} silent for ${Math.round(silentMs)}ms, standby`);
        latest = run({ avoidedServerId, attempt });
      }
    },
    outcome: () => latest,
  };
}
