/**
 * Divides this server's link among the KV transfers that it pulls. Each source's rate is estimated
 * from finished transfers, so that a slow source does not hold back the rest of the link.
 */
import { createLinkRates } from '@bluebellhitch/decisions';

export interface LinkPacerOptions {
  rateBytesPerSecond: number;
  maxSources?: number;
}

export interface LinkGrant {
  rateBytesPerSecond: number;
  /** Gives the share back; call once. */
  release(): void;
}

export interface LinkPacer {
  /** Resolves with a share of the link; undefined where `signal` aborts first. */
  acquire(source: string, signal?: AbortSignal): Promise<LinkGrant | undefined>;
  observe(source: string, bytes: number, durationMs: number): void;
  observeStall(source: string): void;
}

/** A transfer starts only with at least this share of the link. */
const minShare = 0.25;
/** A source gets somewhat more than its estimate, or the estimate could never rise. */
const probeFactor = 1.25;
const defaultMaxSources = 1024;
/** Links are counted by their source: the target is always this server. */
const ownId = 'here';

export function createLinkPacer(options: LinkPacerOptions): LinkPacer {
  const { rateBytesPerSecond, maxSources = defaultMaxSources } = options;
  const rates = createLinkRates({
    maxLinks: maxSources,
    initialRateBytesPerSecond: rateBytesPerSecond,
  });
  const waiting: (() => void)[] = [];
  let grantedRate = 0;

  function tryGrant(source: string): LinkGrant | undefined {
    const rest = rateBytesPerSecond - grantedRate;
    const least = rateBytesPerSecond * minShare;
    if (rest < least) {
      return undefined;
    }
    const wanted = Math.max(rates.rateBytesPerSecond(source, ownId) * probeFactor, least);
    const rate = Math.min(wanted, rest);
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

  function waitTurn(signal?: AbortSignal): Promise<void> {
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
      await waitTurn(signal);
      grant = signal?.aborted ? undefined : tryGrant(source);
    }
    // Enough may be left for another one; and a turn given to one that has gone is passed on.
    wakeNext();
    return grant;
  }

  return {
    acquire,
    observe: (sourceId, bytes, durationMs) =>
      rates.observe({ sourceId, targetId: ownId, bytes, durationMs }),
    observeStall: (sourceId) => rates.observeStall(sourceId, ownId),
  };
}
