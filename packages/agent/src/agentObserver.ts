/** Callbacks for events of the agent's work, used for metrics and decision records. */
import type { IgnoredFrameCause } from '@bluebellhitch/decisions';
import type { AgentRefusalReason, ReserveRequest } from '@bluebellhitch/protocol';

export interface AgentObserver {
  onReserved(request: ReserveRequest, waitedMs: number, usableInMs: number): void;
  onRefused(reason: AgentRefusalReason): void;
  onPrefilled(attemptId: string, computedTokens: number, durationMs: number): void;
  /** The retention time of the export ended; it may have been fetched before. */
  onExportExpired(attemptId: string): void;
  onTransfer(attemptId: string, durationMs: number): void;
  onTransferFailed(attemptId: string, cause: string): void;
  onTokenGap(attemptId: string, durationMs: number): void;
  onDroppedChunk(cause: IgnoredFrameCause): void;
  onLapsed(attemptId: string): void;
  onCancelFailed(attemptId: string, detail: string): void;
  /** The lease of an attempt ended; called once per attempt. */
  onEnded(attemptId: string): void;
}

const noop = () => undefined;

/** Completes a partial observer; missing callbacks do nothing. */
export function createAgentObserver(callbacks: Partial<AgentObserver> = {}): AgentObserver {
  return {
    onReserved: noop,
    onRefused: noop,
    onPrefilled: noop,
    onExportExpired: noop,
    onTransfer: noop,
    onTransferFailed: noop,
    onTokenGap: noop,
    onDroppedChunk: noop,
    onLapsed: noop,
    onCancelFailed: noop,
    onEnded: noop,
    ...callbacks,
  };
}
