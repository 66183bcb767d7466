/** Routers of a fleet that announce to each other where streams began, over a network that loses, repeats and delays datagrams. */
import { decodeStreamOriginMessage, type StreamOrigin } from '@bluebellhitch/protocol';
import { createStreamOrigins, type StreamOrigins } from '@bluebellhitch/routing';
import { addressOf, type FleetNetwork } from './quarantineFleet';

export interface StreamOriginFleetOptions extends FleetNetwork {
  hasSeveralVersions?: () => boolean;
}

export interface StreamOriginFleet {
  routers: StreamOrigins[];
  /** Bytes that each router has sent. */
  sentBytes: number[];
  /** Replaces the router by a new process, which has forgotten everything. */
  restart(router: number): void;
  close(): void;
}

export const firstOrigin: StreamOrigin = { serviceName: 's', softwareVersion: 'v1' };

export function createStreamOriginFleet(
  count: number,
  { delaysMs = () => [1], hasSeveralVersions = () => true }: StreamOriginFleetOptions = {},
): StreamOriginFleet {
  const addresses = Array.from({ length: count }, (_none, index) => addressOf(index));
  const indexes = new Map(addresses.map((address, index) => [address, index]));
  const sentBytes = addresses.map(() => 0);

  function createRouter(own: number): StreamOrigins {
    return createStreamOrigins({
      channel: () => ({
        address: addresses[own] as string,
        async send(bytes, receivers) {
          sentBytes[own] = (sentBytes[own] ?? 0) + bytes.length * receivers.length;
          receivers.forEach((address) => deliver(bytes, own, indexes.get(address) ?? -1));
        },
        knownPeers: () => addresses.filter((_address, index) => index !== own),
      }),
      hasSeveralVersions,
    });
  }

  function deliver(bytes: Buffer, from: number, to: number): void {
    const message = decodeStreamOriginMessage(bytes);
    if (message !== undefined) {
      delaysMs(from, to).forEach((delayMs) => {
        setTimeout(() => fleet.routers[to]?.receive(message), delayMs);
      });
    }
  }

  const fleet: StreamOriginFleet = {
    routers: addresses.map((_address, own) => createRouter(own)),
    sentBytes,
    restart(router) {
      fleet.routers[router]?.close();
      fleet.routers[router] = createRouter(router);
    },
    close: () => fleet.routers.forEach((router) => router.close()),
  };
  return fleet;
}
