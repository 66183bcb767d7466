/** The engines that have failed one waiting request, and whether each may be tried again. */

export interface FailedEngines {
  noteFailed(serverId: string): void;
  /** The engine gave no answer in time: it may have been silent for a moment only. */
  noteTimedOut(serverId: string, nowMs: number): void;
  /** The same, and its answer may still come. */
  notePending(serverId: string, nowMs: number): void;
  noteLateAnswer(serverId: string): void;
  /** Whether the engine is not to be tried now; `lastAnswerAtMs`: when it last answered anything. */
  has(serverId: string, lastAnswerAtMs: number): boolean;
  hasTimedOut(serverId: string): boolean;
}

/** An engine that answers other calls may still fail to answer this one. */
const maxTimeouts = 3;

export function createFailedEngines(): FailedEngines {
  const failedIds = new Set<string>();
  const pendingIds = new Set<string>();
  const timeouts = new Map<string, { count: number; atMs: number }>();

  function noteTimedOut(serverId: string, atMs: number): void {
    timeouts.set(serverId, { count: (timeouts.get(serverId)?.count ?? 0) + 1, atMs });
  }

  return {
    noteFailed: (serverId) => failedIds.add(serverId),
    noteTimedOut,
    notePending(serverId, atMs) {
      noteTimedOut(serverId, atMs);
      pendingIds.add(serverId);
    },
    noteLateAnswer: (serverId) => pendingIds.delete(serverId),
    has(serverId, lastAnswerAtMs) {
      const last = timeouts.get(serverId);
      return (
        failedIds.has(serverId) ||
        pendingIds.has(serverId) ||
        (last !== undefined && (last.count >= maxTimeouts || lastAnswerAtMs <= last.atMs))
      );
    },
    hasTimedOut: (serverId) => timeouts.has(serverId),
  };
}
