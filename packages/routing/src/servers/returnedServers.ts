/**
 * Finds out whether servers whose entries have returned are in service. The entry of a server that was cut off from the
 * store expires and is written again once it can be; an entry may also return because a write of a server that has left
 * was executed late. Each such server is asked for its health, and as that may be wrong, its entry is read again: a server
 * in service goes on writing it. Until then it gets no requests.
 */
import { isReturnConfirmed } from '@bluebellhitch/decisions';
import { delay, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { BackendApi, ServerHealth } from '../backendApi';
import type { BackendServer } from '../model';
import type { ServerDirectory, UnconfirmedServer } from './serverDirectory';

export interface ReturnedServersOptions {
  directory: Pick<ServerDirectory, 'unconfirmed' | 'confirm'>;
  backend: Pick<BackendApi, 'readHealth'>;
  /** Reads the number of the server's entry in the store; undefined if there is none or it cannot be read. */
  readEntryNumber: (server: BackendServer) => Promise<number | undefined>;
  /** Routers that ask the same servers, including this one. */
  routerCount: () => number;
  /** Called with each response, or lack of one, to a health check. */
  onChecked?: (health: ServerHealth) => void;
  logger: Logger;
  random?: Random;
}

export interface ReturnedServers {
  /** Checks this incarnation until it is confirmed, leaves or is removed; no effect while it is being checked. */
  noteUnconfirmed(id: string): void;
  close(): void;
}

/** What the checks of a server have shown. */
interface Checked {
  health: ServerHealth;
  latestNumber?: number;
}

/** Several checks fit between two writes of a server's entry, which come about once a second. */
const checkIntervalMs = 500;
const healthTimeoutMs = 400;
/** All routers learn of a return at once; their first checks are spread, as health checks take slots of the server. */
const spreadPerRouterMs = 5;
const maxSpreadMs = 1_000;

export function createReturnedServers(options: ReturnedServersOptions): ReturnedServers {
  const { directory, backend, readEntryNumber, routerCount, logger } = options;
  const { onChecked = () => undefined, random = Math.random } = options;
  const checkedIds = new Set<string>();
  const closed = new AbortController();

  /** Health first: a server that was only cut off from the store is confirmed without a call to it. */
  async function check({ server, ...returned }: UnconfirmedServer): Promise<Checked | undefined> {
    const health = await backend.readHealth(server, healthTimeoutMs);
    onChecked(health);
    const isConfirmed = (latestNumber?: number) =>
      isReturnConfirmed({ ...returned, latestNumber, isHealthy: health === 'healthy' });
    if (isConfirmed()) {
      return { health, latestNumber: returned.returnedNumber };
    }
    const latestNumber = await readEntryNumber(server);
    return isConfirmed(latestNumber) ? { health, latestNumber } : undefined;
  }

  async function checkUntilKnown(id: string): Promise<void> {
    const spreadMs = Math.min(maxSpreadMs, spreadPerRouterMs * (routerCount() - 1));
    await delay(spreadMs * random(), closed.signal);
    let unconfirmed = directory.unconfirmed(id);
    while (unconfirmed !== undefined && !closed.signal.aborted) {
      const checked = await check(unconfirmed);
      if (checked !== undefined) {
        logger.info('server confirmed', { id, ...checked });
        directory.confirm(id);
        return;
      }
      await delay(checkIntervalMs, closed.signal);
      unconfirmed = directory.unconfirmed(id);
    }
  }

  return {
    noteUnconfirmed(id) {
      if (!checkedIds.has(id)) {
        checkedIds.add(id);
        void checkUntilKnown(id).finally(() => checkedIds.delete(id));
      }
    },
    close: () => closed.abort(),
  };
}
