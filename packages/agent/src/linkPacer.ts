/**
 * Divides the bandwidth of this server's link among its incoming KV transfers. Each source's rate is
 * estimated from finished transfers, so that a slow source does not reserve bandwidth that it cannot use.
 */
import { createLinkRates } from '@bluebellhitch/decisions';

export interface LinkPacerOptions {
  rateBytesPerSecond: number;
  maxSources?: number;
}

export interface LinkGrant {
  rateBytesPerSecond: number;
  /** Returns the share; call once. */
  release(): void;
}

export interface LinkPacer {
  /** Resolves to a share of the link; undefined if `signal` aborts first. */
  acquire(source: string, signal?: AbortSignal): Promise<LinkGrant | undefined>;
  observe(source: string, bytes: number, durationMs: number): void;
  observeStall(source: string): void;
}

/** Smallest share of the link with which a transfer starts. */
const minShare = 0.25;
/** A source gets more than its estimated rate; otherwise the estimate could never rise. */
const probeFactor = 1.25;
const defaultMaxSources = 1024;
/** Links are told apart by their source; the target is always this server. */
const localTargetId = 'here';

export function createLinkPacer(options: LinkPacerOptions): LinkPacer {
  const { rateBytesPerSecond, maxSources = defaultMaxSources } = options;
  const rates = createLinkRates({
    maxLinks: maxSources,
    initialRateBytesPerSecond: rateBytesPerSecond,
  });
  const waiting: (() => void)[] = [];
  let grantedRate = 0;

  function tryGrant(source: string): LinkGrant | undefined {
    const remainingRate = rateBytesPerSecond - grantedRate;
    const minRate = rateBytesPerSecond * minShare;
    if (remainingRate < minRate) {
      return undefined;
    }
    const desiredRate = Math.max(
      rates.rateBytesPerSecond(source, localTargetId) * probeFactor,
      minRate,
    );
    const rate = Math.min(desiredRate, remainingRate);
    grantedRate += rate;
    return { rateBytesPerSecond: rate, release: () => release(rate) };
  }

  function release(rate: number): void {
    grantedRate = Math.max(0, grantedRate - rate);
    wakeNext();
  }

  function wakeNext(): void {
    waiting.shift()?.();
  }

  function waitForRelease(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const proceed = () => {
        const index = waiting.indexOf(proceed);
        if (index >= 0) {
          waiting.splice(index, 1);
        }
        signal?.removeEventListener('abort', proceed);
        resolve();
      };
      waiting.push(proceed);
      signal?.addEventListener('abort', proceed);
    });
  }

  async function acquire(source: string, signal?: AbortSignal): Promise<LinkGrant | undefined> {
    let grant = signal?.aborted ? undefined : tryGrant(source);
    while (grant === undefined && !signal?.aborted) {
      await waitForRelease(signal);
      grant = signal?.aborted ? undefined : tryGrant(source);
    }
    // Enough bandwidth may be left for another transfer, and an aborted waiter has to pass its wake-up on.
    wakeNext();
    return grant;
  }

  return {
    acquire,
    observe: (sourceId, bytes, durationMs) =>
      rates.observe({ sourceId, targetId: localTargetId, bytes, durationMs }),
    observeStall: (sourceId) => rates.observeStall(sourceId, localTargetId),
  };
}
