/**
 * Watches the lease of a stream at its agent. It may have ended once the agent has answered no heartbeat for a time; but a
 * sound agent may be silent for that long and go on, and then keeps its leases: it counts the time in which it was paused as
 * if it had not passed. So a stream that its agent may still finish ends only once another server could go on with it.
 */
import { delay } from '@bluebellhitch/shared';
import { lapseCauses, type HeartbeatShare } from './heartbeats';

export interface StreamLeaseOptions {
  share: Pick<HeartbeatShare, 'lapsed'>;
  /** Begins new heartbeats to the same agent. */
  renewShare: () => HeartbeatShare;
  /** Whether to wait for a silent agent until there is something in its place. */
  mayWait: () => boolean;
  /** What the stream has delivered so far; it changes when the agent goes on. */
  progress: () => number;
  /** Whether another server could go on with the stream; asked again and again while the agent is silent. */
  hasReplacement: (signal: AbortSignal) => Promise<boolean>;
  /** Called once, when the lease has ended or is not waited for. */
  onEnded: () => void;
}

export interface StreamLease {
  stop(): void;
}

const askIntervalMs = 250;

export function watchStreamLease(options: StreamLeaseOptions): StreamLease {
  const { share, renewShare, mayWait, progress, hasReplacement, onEnded } = options;
  const stopped = new AbortController();
  let isAsking = false;
  let renewed: HeartbeatShare | undefined;
  let unfollow: () => void = () => undefined;

  function stop(): void {
    unfollow();
    stopped.abort();
    renewed?.release();
  }

  function end(): void {
    stop();
    onEnded();
  }

  /** Ends the stream once it can go on elsewhere, unless its agent goes on first. */
  async function askForReplacement(): Promise<void> {
    const before = progress();
    const isSilent = () => !stopped.signal.aborted && progress() === before;
    let isReplaceable = false;
    while (isSilent() && !isReplaceable) {
      isReplaceable = await hasReplacement(stopped.signal);
      if (!isReplaceable) {
        await delay(askIntervalMs, stopped.signal);
      }
    }
    isAsking = false;
    if (isReplaceable && isSilent()) {
      end();
    }
  }

  function onLapsed(reason: unknown): void {
    unfollow();
    if (reason !== lapseCauses.unanswered || !mayWait()) {
      end();
      return;
    }
    renewed?.release();
    renewed = renewShare();
    follow(renewed.lapsed);
    if (!isAsking) {
      isAsking = true;
      void askForReplacement();
    }
  }

  function follow(lapsed: AbortSignal): void {
    const listener = () => onLapsed(lapsed.reason);
    unfollow = () => lapsed.removeEventListener('abort', listener);
    if (lapsed.aborted) {
      listener();
    } else {
      lapsed.addEventListener('abort', listener);
    }
  }

  follow(share.lapsed);
  return { stop };
}
