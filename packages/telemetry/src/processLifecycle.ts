/** Process shutdown on signals, on unhandled errors and, optionally, at the end of the standard input. */
import type { Readable } from 'node:stream';
import * as z from 'zod';
import { delay, exitCodes } from '@bluebellhitch/shared';
import type { Logger } from './logger';

/** `graceful` finishes the work in progress; `forced` releases all resources and returns at once. */
export type StopKind = 'graceful' | 'forced';

export type StopSignal = 'SIGTERM' | 'SIGINT';

export interface ProcessLifecycleOptions {
  /** Called at most once per kind; the process exits when the promise settles. */
  onStop: (kind: StopKind) => Promise<void>;
  /** Logs why the process stops. */
  logger?: Logger;
  /** Defaults to the environment variable `BLUEBELL_EXIT_ON_STDIN_END`. */
  exitOnStdinEnd?: boolean;
  /**
   * Signals that force the stop while a graceful one is in progress; others are then ignored. Default: both. A process
   * whose graceful stop is bounded needs no second signal, and its supervisor may repeat the first.
   */
  forcingSignals?: readonly StopSignal[];
  /** Maximum duration of a forced stop. */
  forcedStopMs?: number;
  /** Replaced in tests. */
  process?: LifecycleProcess;
}

/** The part of the Node.js `process` object that is used here. */
export interface LifecycleProcess {
  env: Record<string, string | undefined>;
  stdin: Readable;
  on(event: string, listener: (...values: unknown[]) => void): unknown;
  exit(code: number): void;
}

/** Setting definitions that a binary adds to its own. */
export const lifecycleSettings = {
  exitOnStdinEnd: {
    schema: z.enum(['true', 'false']).transform((text) => text === 'true'),
    description:
      'Stop when the standard input ends, so that the process cannot outlive its parent.',
    defaultText: 'false',
  },
};

const bothSignals: readonly StopSignal[] = ['SIGTERM', 'SIGINT'];

/**
 * Installs the handlers. The first SIGTERM or SIGINT stops the process gracefully with exit code 0; a second one of
 * `forcingSignals`, or an unhandled error, forces the stop with exit code 1.
 */
export function installProcessLifecycle(options: ProcessLifecycleOptions): void {
  const { onStop, logger, forcingSignals = bothSignals, forcedStopMs = 2_000 } = options;
  const host: LifecycleProcess = options.process ?? process;
  const watchesStdin = options.exitOnStdinEnd ?? host.env.BLUEBELL_EXIT_ON_STDIN_END === 'true';
  let stopping: StopKind | undefined;

  async function stopGracefully(cause: string): Promise<void> {
    stopping = 'graceful';
    logger?.info('stopping', { cause });
    const failed = await settlesWithError(onStop('graceful'), logger);
    if (stopping === 'graceful') {
      host.exit(failed ? exitCodes.failure : exitCodes.ok);
    }
  }

  async function stopForced(cause: string, exitCode: number): Promise<void> {
    if (stopping === 'forced') {
      return;
    }
    stopping = 'forced';
    logger?.warn('stopping at once', { cause });
    await Promise.race([settlesWithError(onStop('forced'), logger), delay(forcedStopMs)]);
    host.exit(exitCode);
  }

  function onSignal(signal: StopSignal): void {
    if (stopping === undefined) {
      void stopGracefully(signal);
    } else if (forcingSignals.includes(signal)) {
      void stopForced(signal, exitCodes.failure);
    } else {
      logger?.info('already stopping', { cause: signal });
    }
  }

  function onUnhandled(error: unknown): void {
    logger?.error('unhandled error', { error });
    void stopForced('unhandled error', exitCodes.failure);
  }

  bothSignals.forEach((signal) => host.on(signal, () => onSignal(signal)));
  host.on('uncaughtException', onUnhandled);
  host.on('unhandledRejection', onUnhandled);
  if (watchesStdin) {
    exitOnStdinEnd(host.stdin, () => {
      void stopForced('standard input ended', exitCodes.ok);
    });
  }
}

/**
 * Calls `onEnd` when the stream ends. The death of a parent process that holds the other end of the pipe always
 * ends it, even after SIGKILL.
 */
export function exitOnStdinEnd(stdin: Readable, onEnd: () => void): void {
  stdin.once('end', onEnd);
  stdin.once('close', onEnd);
  stdin.once('error', onEnd);
  stdin.resume();
  // The pipe alone must not keep a process alive that has finished its work.
  (stdin as Partial<{ unref(): void }>).unref?.();
}

/** Returns whether the promise rejected, and logs the error. */
async function settlesWithError(promise: Promise<void>, logger?: Logger): Promise<boolean> {
  try {
    await promise;
    return false;
  } catch (error) {
    logger?.error('stopping failed', { error });
    return true;
  }
}
