/** Counts this router's requests in progress at each backend server. */
import { runOnce } from '@bluebellhitch/shared';

export interface ServerLoads {
  /** Counts a request; call the result when it has ended. */
  begin(serverId: string): () => void;
  running(serverId: string): number;
}

export function createServerLoads(): ServerLoads {
  const counts = new Map<string, number>();

  function adjust(serverId: string, change: number): void {
    const count = (counts.get(serverId) ?? 0) + change;
    if (count === 0) {
      counts.delete(serverId);
    } else {
      counts.set(serverId, count);
    }
  }

  return {
    begin(serverId) {
      adjust(serverId, 1);
      return runOnce(() => adjust(serverId, -1));
    },
    running: (serverId) => counts.get(serverId) ?? 0,
  };
}
