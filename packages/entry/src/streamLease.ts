/**
 * Watches the lease of a stream at its agent. It may have ended once the agent has answered no heartbeat for a time; but a
 * sound agent may be silent for that long and go on, and then keeps its leases: it counts the time in which it was paused as
 * if it had not passed.
 */
import { lapseCauses, type HeartbeatShare } from './heartbeats';

export interface StreamLeaseOptions {
  share: Pick<HeartbeatShare, 'lapsed'>;
  /** Begins new heartbeats to the same agent. */
  renewShare: () => HeartbeatShare;
  /** Whether to wait for a silent agent, as nothing is gained by ending the stream. */
  mayWait: () => boolean;
  /** Called once, when the lease has ended or is not waited for. */
  onEnded: () => void;
}

export interface StreamLease {
  stop(): void;
}

export function watchStreamLease(options: StreamLeaseOptions): StreamLease {
  const { share, renewShare, mayWait, onEnded } = options;
  let renewed: HeartbeatShare | undefined;
  let unfollow: () => void = () => undefined;

  function onLapsed(reason: unknown): void {
    unfollow();
    if (reason !== lapseCauses.unanswered || !mayWait()) {
      onEnded();
      return;
    }
    renewed?.release();
    renewed = renewShare();
    follow(renewed.lapsed);
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
  return {
    stop() {
      unfollow();
      renewed?.release();
    },
  };
}
