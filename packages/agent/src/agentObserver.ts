/** What the agent reports about its work; metrics and decision records listen. */
import type { IgnoredFrameCause } from '@bluebellhitch/decisions';
import type { AgentRefusalReason, ReserveRequest } from '@bluebellhitch/protocol';

export interface AgentObserver {
  onReserved(request: ReserveRequest, waitedMs: number, usableInMs: number): void;
  onRefused(reason: AgentRefusalReason): void;
  onPrefilled(attemptId: string, computedTokens: number, durationMs: number): void;
  /** The export's time was over; it may have been fetched all the same. */
  onExportExpired(attemptId: string): void;
  onTransfer(attemptId: string, durationMs: number): void;
  onTransferFailed(attemptId: string, cause: string): void;
  onTokenGap(attemptId: string, durationMs: number): void;
  onDroppedChunk(cause: IgnoredFrameCause): void;
  onLapsed(attemptId: string): void;
  onCancelFailed(attemptId: string, detail: string): void;
  /** The lease of an attempt has ended; called once for each. */
  onEnded(attemptId: string): void;
}

const ignore = () => undefined;

/** Parts of an observer; what is missing is ignored. */
export function createAgentObserver(parts: Partial<AgentObserver> = {}): AgentObserver {
  return {
    onReserved: ignore,
    onRefused: ignore,
    onPrefilled: ignore,
    onExportExpired: ignore,
    onTransfer: ignore,
    onTransferFailed: ignore,
    onTokenGap: ignore,
    onDroppedChunk: ignore,
    onLapsed: ignore,
    onCancelFailed: ignore,
    onEnded: ignore,
    ...parts,
  };
}
