/** A lease at an agent, held from before it is requested until it has certainly ended there. */
import { err, type Result } from 'neverthrow';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { AgentCallError } from './agentApi';
import type { HeartbeatShare } from './heartbeats';
import { createLinkedAbort } from './linkedAbort';
import { stopReasons } from './modelTypes';
import type { RequestContext } from './requestContext';

export interface HeldLease {
  instance: PlatformInstance;
  attemptId: string;
  share: HeartbeatShare;
  /** Call it when the agent has ended the lease itself or did not grant it. */
  markEnded(): void;
  /** Releases the lease, and cancels it at the agent unless it has ended there. Idempotent. */
  release(): void;
}

/**
 * Call it before the reservation is sent: the reply may be lost after the agent granted it, and the memory
 * would then stay reserved until the heartbeat for all other work at the agent ends.
 */
export function holdLease(
  context: Pick<RequestContext, 'heartbeats' | 'cancellations'>,
  instance: PlatformInstance,
  attemptId: string,
  onRelease: () => void = () => undefined,
): HeldLease {
  const share = context.heartbeats.share(instance.innerAddress);
  let hasEnded = false;
  let isReleased = false;
  return {
    instance,
    attemptId,
    share,
    markEnded: () => {
      hasEnded = true;
    },
    release() {
      if (isReleased) {
        return;
      }
      isReleased = true;
      if (!hasEnded) {
        context.cancellations.cancel(instance.innerAddress, attemptId);
      }
      share.release();
      onRelease();
    },
  };
}

/**
 * Makes a call under the lease. The call is aborted with the request, and when the lease at the agent may
 * have ended: a machine that lost power closes no connection, and a call that waits in the agent's queue
 * would block the caller for its whole wait limit.
 */
export async function callUnderLease<Value>(
  lease: Pick<HeldLease, 'share'>,
  requestSignal: AbortSignal,
  call: (signal: AbortSignal) => PromiseLike<Result<Value, AgentCallError>>,
): Promise<Result<Value, AgentCallError>> {
  const link = createLinkedAbort([
    { signal: requestSignal, reason: stopReasons.callerGone },
    { signal: lease.share.lapsed, reason: stopReasons.lapsed },
  ]);
  const reply = await call(link.signal);
  link.dispose();
  const lapsed = reply.isErr() && link.signal.reason === stopReasons.lapsed;
  return lapsed ? err({ kind: 'timeout', detail: 'the agent answers no heartbeat' }) : reply;
}
