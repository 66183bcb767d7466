/** Requests of this process in progress at each backend server. */
import { runOnce } from '@bluebellhitch/shared';

export interface ServerLoads {
  /** Call the result when the request has left the server. */
  begin(serverId: string): () => void;
  running(serverId: string): number;
}

export function createServerLoads(): ServerLoads {
  const counts = new Map<string, number>();

  function add(serverId: string, change: number): void {
    const count = (counts.get(serverId) ?? 0) + change;
    if (count === 0) {
      counts.delete(serverId);
    } else {
      counts.set(serverId, count);
    }
  }

  return {
    begin(serverId) {
      add(serverId, 1);
      return runOnce(() => add(serverId, -1));
    },
    running: (serverId) => counts.get(serverId) ?? 0,
  };
}
