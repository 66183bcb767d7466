/**
 * Estimates the rate of each link between two instances from finished transfers. An unused link is
 * expected to have the average rate of the others. Each link counts once in the average, so that a
 * single slow link with many transfers does not make all others look slow.
 */
import { createBoundedMap } from './boundedMap';
import { createRunningEstimate, type RunningEstimate } from './runningEstimate';

export interface LinkRatesOptions {
  maxLinks?: number;
  /** Rate assumed until the first transfer has finished. */
  initialRateBytesPerSecond?: number;
}

export interface FinishedTransfer {
  sourceId: string;
  targetId: string;
  bytes: number;
  durationMs: number;
}

export interface LinkRates {
  observe(transfer: FinishedTransfer): void;
  /** Lowers the link's rate after a transfer that stalled or failed. */
  observeStall(sourceId: string, targetId: string): void;
  rateBytesPerSecond(sourceId: string, targetId: string): number;
  transferMs(sourceId: string, targetId: string, bytes: number): number;
  size(): number;
}

/** Shorter transfers measure the round trip rather than the link. */
const minimumSampleBytes = 65_536;
const minimumRateBytesPerSecond = 1_000;
const stallFactor = 0.25;

export function createLinkRates(options: LinkRatesOptions = {}): LinkRates {
  const { maxLinks = 4096, initialRateBytesPerSecond = 2_000_000_000 } = options;
  const links = createBoundedMap<string, RunningEstimate>({
    maxEntries: maxLinks,
    onEvict: (_key, link) => {
      rateSum -= link.mean();
    },
  });
  let rateSum = 0;

  /** The initial rate counts as one more link. */
  function averageRate(): number {
    return (initialRateBytesPerSecond + rateSum) / (1 + links.size());
  }

  function rateBytesPerSecond(sourceId: string, targetId: string): number {
    const link = links.get(linkKey(sourceId, targetId));
    return Math.max(minimumRateBytesPerSecond, link?.mean() ?? averageRate());
  }

  function observeRate(sourceId: string, targetId: string, rate: number): void {
    const key = linkKey(sourceId, targetId);
    const known = links.get(key);
    const link = known ?? createRunningEstimate({ smoothing: 0.25, initialMean: averageRate() });
    rateSum -= known?.mean() ?? 0;
    link.observe(rate);
    rateSum += link.mean();
    links.set(key, link);
  }

  function observe({ sourceId, targetId, bytes, durationMs }: FinishedTransfer): void {
    if (bytes < minimumSampleBytes || durationMs <= 0) {
      return;
    }
    observeRate(sourceId, targetId, (bytes / durationMs) * 1_000);
  }

  return {
    observe,
    observeStall: (sourceId, targetId) =>
      observeRate(sourceId, targetId, rateBytesPerSecond(sourceId, targetId) * stallFactor),
    rateBytesPerSecond,
    transferMs: (sourceId, targetId, bytes) =>
      (bytes / rateBytesPerSecond(sourceId, targetId)) * 1_000,
    size: () => links.size(),
  };
}

function linkKey(sourceId: string, targetId: string): string {
  return `${sourceId}\u0000${targetId}`;
}
