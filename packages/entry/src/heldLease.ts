/** A lease at an agent, from before it is asked for until it certainly ended there. */
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

/**
 * Makes a call under the lease. It ends with the request, and when the lease at the agent may have
 * ended: a machine that lost its power closes no connection, and a call that waits in its queue would
 * hold the caller for all of its wait limit.
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
