/** A lease at an agent, from before it is asked for until it certainly ended there. */
import type { PlatformInstance } from '@bluebellhitch/platform';
import type { HeartbeatShare } from './heartbeats';
import type { RequestContext } from './requestContext';

export interface HeldLease {
  instance: PlatformInstance;
  attemptId: string;
  share: HeartbeatShare;
  /** The agent ended the lease itself, or never granted it. */
  settle(): void;
  /** Gives the lease up; tells the agent unless it is settled. Idempotent. */
  release(): void;
}

/**
 * Call it before the reservation is sent: its answer may be lost after the agent granted it, and the
 * memory would then stay held until the heartbeat of all other work ends.
 */
export function holdLease(
  context: Pick<RequestContext, 'heartbeats' | 'cancellations'>,
  instance: PlatformInstance,
  attemptId: string,
  onRelease: () => void = () => undefined,
): HeldLease {
  const share = context.heartbeats.share(instance.innerAddress);
  let settled = false;
  let released = false;
  return {
    instance,
    attemptId,
    share,
    settle: () => {
      settled = true;
    },
    release() {
      if (released) {
        return;
      }
      released = true;
      if (!settled) {
        context.cancellations.cancel(instance.innerAddress, attemptId);
      }
      share.release();
      onRelease();
    },
  };
}
