/**
 * Sends strikes to the other entries while the platform is down. Strikes are rare, so each is sent to
 * every peer: the caller's next try may reach any of them.
 */
import { createTRPCClient, httpLink } from '@trpc/client';
import { createBoundedAgent } from '@bluebellhitch/ports';
import type { EntryRouter, Strike } from '@bluebellhitch/protocol';
import { credentialHeaders, innerAudiences, type InnerCredentials } from '@bluebellhitch/security';
import type { Logger } from '@bluebellhitch/telemetry';
import { innerPaths } from '@bluebellhitch/protocol';
import type { Instances } from './instances';
import { createMessageFetch, type ControlBytesListener } from './messageFetch';

export interface PeerStrikesOptions {
  entryId: string;
  instances: Pick<Instances, 'entries'>;
  logger: Logger;
  credentials?: InnerCredentials;
  timeoutMs?: number;
  onControlBytes?: ControlBytesListener;
}

export interface PeerStrikes {
  /** Sends the strikes in the background; failures to reach a peer are only logged. */
  send(strikes: Strike[]): void;
  close(): Promise<void>;
}

const connectionsPerPeer = 1;

/** Creates the sender of one entry. */
export function createPeerStrikes(options: PeerStrikesOptions): PeerStrikes {
  const { entryId, instances, logger, timeoutMs = 2_000, onControlBytes } = options;
  const dispatcher = createBoundedAgent({
    connections: connectionsPerPeer,
    connect: { timeout: timeoutMs },
    keepAliveTimeout: 1_000,
  });
  const headers = credentialHeaders(options.credentials, innerAudiences.entry);
  const fetchMessage = createMessageFetch(dispatcher, onControlBytes);

  async function sendToPeer(address: string, strikes: Strike[]): Promise<void> {
    const url = `${address}${innerPaths.trpc}`;
    const client = createTRPCClient<EntryRouter>({
      links: [httpLink({ url, headers, fetch: fetchMessage })],
    });
    try {
      await client.strike.mutate(strikes, { signal: AbortSignal.timeout(timeoutMs) });
    } catch (error) {
      logger.debug('could not send strikes to peer', { address, error });
    }
  }

  return {
    send(strikes) {
      instances
        .entries()
        .filter(({ id }) => id !== entryId)
        .forEach(({ innerAddress }) => {
          void sendToPeer(innerAddress, strikes);
        });
    },
    close: () => dispatcher.destroy(),
  };
}
