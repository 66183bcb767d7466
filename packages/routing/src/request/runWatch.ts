/**
 * Watches one run of a stream for silence. Silence alone ends no run: a sound server may be silent for a while and go on.
 * Only a server that has ended without closing its connections, as after a loss of power, ends its runs.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from '../model';
import { eventTimeoutMs } from './runPlacement';
import { startStallWatch } from './stallWatch';
import type { ActiveRun } from './streamRun';

export interface RunWatch {
  noteProgress(): void;
  /** Whether the server has been silent since the run's last progress. */
  isSilent(): boolean;
  stop(): void;
}

/**
 * Shares of the event timeout after which a run without events counts as silent. A live engine may pause a stream for
 * lack of memory and resume it later, so one on an unresponsive engine counts as silent sooner.
 */
const stallTimeoutShare = 1;
const unresponsiveTimeoutShare = 0.2;
/** Between two checks whether a silent server has ended, which probe it. */
const endCheckIntervalMs = 1_000;

/** `onLost` is called once, if the server has ended. */
export function watchRun(
  { state, deps, relay, onSilent }: ActiveRun,
  server: BackendServer,
  onLost: () => void,
): RunWatch {
  const timeoutMs = eventTimeoutMs(state.route);
  const unresponsiveStallTimeoutMs = unresponsiveTimeoutShare * timeoutMs;
  let isSilent = false;
  let progressAtMs = monotonicNowMs();
  let nextEndCheckAtMs = -Infinity;

  /** A server that is leaving may take no connections any more and still finish its streams, which this allows for. */
  async function checkEnd(): Promise<void> {
    nextEndCheckAtMs = Infinity;
    const hasEnded = await deps.serverEnds.hasCrashed(server);
    nextEndCheckAtMs = monotonicNowMs() + endCheckIntervalMs;
    if (hasEnded && isSilent) {
      onLost();
    }
  }

  /** A run that still brings events is not lost: others can write an entry that looks like a restart. */
  function isServerRestarted(): boolean {
    const withoutProgressMs = monotonicNowMs() - progressAtMs;
    return withoutProgressMs > unresponsiveStallTimeoutMs && deps.directory.hasRestarted(server);
  }

  const watch = startStallWatch({
    stallTimeoutMs: stallTimeoutShare * timeoutMs,
    unresponsiveStallTimeoutMs,
    isServerUnresponsive: () => deps.engineLoads.isUnresponsive(server.id),
    isServerRestarted,
    onStalled(silentMs) {
      if (relay.isCallerBehind()) {
        watch.noteProgress();
        return;
      }
      isSilent = true;
      onSilent(server.id, silentMs);
      if (monotonicNowMs() >= nextEndCheckAtMs) {
        void checkEnd();
      }
    },
    onLost,
  });
  return {
    noteProgress() {
      isSilent = false;
      progressAtMs = monotonicNowMs();
      watch.noteProgress();
    },
    isSilent: () => isSilent,
    stop: watch.stop,
  };
}
