/**
 * Transfers of KV cache between engines: which of several holders to pull from, at what pace, and
 * what to do when a transfer stalled.
 */
import type { LinkRates } from './linkRate';

export interface TransferSource {
  instanceId: string;
  kvBytes: number;
  /** The engine drops its export after this long. */
  keptForMs: number;
  /** Transfers that already leave this instance, as far as known. */
  activeTransfers?: number;
}

export interface TransferChoiceOptions {
  sources: readonly TransferSource[];
  targetId: string;
  linkRates: LinkRates;
  /** Transfers that the target pulls already: they share its link. */
  activePulls?: number;
  /** Expected time to compute the prompt at the target instead. */
  localPrefillMs: number;
}

export type TransferChoice =
  | { kind: 'pull'; sourceId: string; expectedMs: number; rateBytesPerSecond: number }
  /** No transfer ends before its export is dropped, or computing again is faster. */
  | { kind: 'prefill-locally'; cause: 'expired' | 'slower' };

export interface StalledTransferOptions extends TransferChoiceOptions {
  /** The source that stalled. */
  stalledId: string;
  /** Transfers of this request that stalled so far, this one included. */
  stalls: number;
  maxStalls?: number;
  /** Time to the request's deadline. */
  remainingMs: number;
}

export type StalledTransferChoice = TransferChoice | { kind: 'give-up' };

/** Exports are pulled only if the expected end leaves this part of their lifetime. */
const lifetimeMargin = 0.9;

export function chooseTransfer(options: TransferChoiceOptions): TransferChoice {
  const [best] = options.sources
    .map((source) => estimatePull(source, options))
    .filter(({ source, expectedMs }) => expectedMs <= source.keptForMs * lifetimeMargin)
    .sort((left, right) => left.expectedMs - right.expectedMs);
  if (best === undefined) {
    return { kind: 'prefill-locally', cause: 'expired' };
  }
  if (best.expectedMs > options.localPrefillMs) {
    return { kind: 'prefill-locally', cause: 'slower' };
  }
  const { source, expectedMs, rateBytesPerSecond } = best;
  return { kind: 'pull', sourceId: source.instanceId, expectedMs, rateBytesPerSecond };
}

/** Another holder first, then the same one once more, then the prompt is computed again. */
export function chooseAfterStall(options: StalledTransferOptions): StalledTransferChoice {
  const { sources, stalledId, stalls, maxStalls = 2, remainingMs, localPrefillMs } = options;
  const others = sources.filter(({ instanceId }) => instanceId !== stalledId);
  const choice: TransferChoice =
    stalls >= maxStalls
      ? { kind: 'prefill-locally', cause: 'slower' }
      : chooseTransfer({ ...options, sources: others.length > 0 ? others : sources });
  const neededMs = choice.kind === 'pull' ? choice.expectedMs : localPrefillMs;
  return neededMs > remainingMs ? { kind: 'give-up' } : choice;
}

interface PullEstimate {
  source: TransferSource;
  expectedMs: number;
  rateBytesPerSecond: number;
}

/** Concurrent transfers are expected to share the narrower end evenly. */
function estimatePull(source: TransferSource, options: TransferChoiceOptions): PullEstimate {
  const { targetId, linkRates, activePulls = 0 } = options;
  const sharers = 1 + Math.max(activePulls, source.activeTransfers ?? 0);
  const rateBytesPerSecond = linkRates.rateBytesPerSecond(source.instanceId, targetId) / sharers;
  return { source, expectedMs: (source.kvBytes / rateBytesPerSecond) * 1_000, rateBytesPerSecond };
}
