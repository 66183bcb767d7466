/**
 * Lets a process run in turns, and tells how long it could run. On a busy machine that is less than the time in which it is
 * not stopped, as a process that is ready to run waits for a processor.
 */
import { readFileSync } from 'node:fs';
import { setImmediate } from 'node:timers/promises';
import { createBackgroundLoop, delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { RouterProcessHandle } from '../../src/routerFleet';

/** Of the main thread of a process; durations count from its start. */
export interface ProcessTimes {
  /** It runs, or waits for a processor. */
  isReady: boolean;
  ranMs: number;
  /** Time of waiting for a processor, without a wait in progress. */
  waitedMs: number;
}

/** One turn: from a signal to go on to the next one, with a signal to stop between them. */
export interface RunTurn {
  startedAtMs: number;
  /** Time that was meant to pass between the signal to go on and the one to stop. */
  plannedMs: number;
  /** Time that passed between the two signals. */
  runMs: number;
  atStart: ProcessTimes;
  atStop: ProcessTimes;
  atEnd: ProcessTimes;
}

export interface RunTurns {
  /** Resolves when the process is next to stop. */
  nextStop(): Promise<void>;
  /**
   * Resolves once the process could run for that long in turns that begin after the call, and this process has read what
   * had been sent by then.
   */
  untilGranted(forMs: number): Promise<void>;
  /** The turns that began after `sinceMs`, in text, with times in ms from then on. */
  describe(sinceMs: number): string;
  end(): Promise<void>;
}

const nsPerMs = 1e6;
const grantTimeoutMs = 60_000;

/** The process runs for `runMs` of each `periodMs`, until `end` is called. */
export function startRunTurns(
  router: RouterProcessHandle,
  { runMs, periodMs }: { runMs: number; periodMs: number },
): RunTurns {
  const turns: RunTurn[] = [];
  const waiting = new Set<() => void>();
  let startedCount = 0;
  const read = () => readProcessTimes(router.pid());

  const loop = createBackgroundLoop(async (signal) => {
    router.freeze();
    await delay(periodMs - runMs, signal);
    let atStart = read();
    while (!signal.aborted) {
      const startedAtMs = monotonicNowMs();
      startedCount += 1;
      router.resume();
      await delay(runMs, signal);
      const atStop = read();
      router.freeze();
      const ranForMs = monotonicNowMs() - startedAtMs;
      const notified = [...waiting];
      waiting.clear();
      notified.forEach((notify) => notify());
      await delay(periodMs - runMs, signal);
      const atEnd = read();
      turns.push({ startedAtMs, plannedMs: runMs, runMs: ranForMs, atStart, atStop, atEnd });
      atStart = atEnd;
    }
  });
  loop.start();

  const nextStop = () =>
    new Promise<void>((resolve) => {
      waiting.add(resolve);
    });

  return {
    nextStop,
    async untilGranted(forMs) {
      const firstTurn = startedCount;
      const endsAtMs = monotonicNowMs() + grantTimeoutMs;
      const granted = () => turns.slice(firstTurn).reduce((sum, turn) => sum + grantedMs(turn), 0);
      while (granted() < forMs) {
        if (monotonicNowMs() > endsAtMs) {
          throw new Error(`${router.name} could run for ${granted()} ms in ${grantTimeoutMs} ms`);
        }
        await delay(1);
      }
      await readAll();
    },
    describe: (sinceMs) =>
      turns
        .filter(({ startedAtMs }) => startedAtMs > sinceMs)
        .map((turn) => describeTurn(turn, sinceMs))
        .join('; '),
    async end() {
      await loop.stop();
      router.resume();
    },
  };
}

/** Passes of the event loop: the first one may have begun to read before the call. */
async function readAll(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

function describeTurn(turn: RunTurn, sinceMs: number): string {
  const { startedAtMs, runMs, atStart, atEnd } = turn;
  const startMs = Math.round(startedAtMs - sinceMs);
  const ranMs = Math.round(atEnd.ranMs - atStart.ranMs);
  const waitedMs = Math.round(atEnd.waitedMs - atStart.waitedMs);
  const isReadyText = turn.atStop.isReady ? ', ready' : '';
  return `${startMs}: ${Math.round(runMs)} long, ran ${ranMs}, waited ${waitedMs}${isReadyText}, granted ${Math.round(grantedMs(turn))}`;
}

/**
 * For how long a process could run in a turn, whether it ran or slept. Beyond the planned time only what it ran counts: a turn
 * lasts longer if this process is held up, and then the other one may have been held up as well, without a wait that the kernel counts.
 */
export function grantedMs({
  plannedMs,
  runMs,
  atStart,
  atStop,
  atEnd,
}: Omit<RunTurn, 'startedAtMs'>): number {
  const ranMs = atEnd.ranMs - atStart.ranMs;
  if (atStop.isReady && atEnd.isReady) {
    // It waits for a processor since before the stop, which it has not noticed.
    return ranMs;
  }
  // A process that sleeps when it is to stop waits for a processor to do so: that is not a part of its turn.
  const waitEnd = atStop.isReady ? atEnd : atStop;
  const waitedMs = waitEnd.waitedMs - atStart.waitedMs;
  return Math.max(ranMs, Math.min(runMs - waitedMs, plannedMs));
}

/** According to the kernel. */
export function readProcessTimes(pid: number | undefined): ProcessTimes {
  const directory = `/proc/${pid}`;
  const state = /\) (\w)/.exec(readFileSync(`${directory}/stat`, 'utf8'))?.[1];
  const [ranNs, waitedNs] = readFileSync(`${directory}/schedstat`, 'utf8').split(' ').map(Number);
  return {
    isReady: state === 'R',
    ranMs: Number(ranNs) / nsPerMs,
    waitedMs: Number(waitedNs) / nsPerMs,
  };
}
