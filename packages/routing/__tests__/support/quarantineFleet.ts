/** Routers of a fleet that exchange crashes of servers over a network that loses, repeats and delays datagrams. */
import type { QuarantineRecord } from '@bluebellhitch/decisions';
import { decodeCrashMessage } from '@bluebellhitch/protocol';
import { createRequestQuarantine, type RequestQuarantine } from '@bluebellhitch/routing';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { BackendServer } from '../../src/model';
import type { RequestIdentity } from '../../src/fleet/requestFingerprint';

export interface FleetNetwork {
  /** Delay of a datagram in milliseconds, once for each copy that arrives; empty if it is lost. */
  delaysMs?: (from: number, to: number) => number[];
}

export interface QuarantineFleet {
  routers: RequestQuarantine[];
  messages: { router: number; message: string }[];
  /** Records that the routers reported as held or released. */
  saved: QuarantineRecord[];
  /** Bytes that each router has sent. */
  sentBytes: number[];
  /** The router notices that the request has crashed the server. */
  crash(
    router: number,
    fingerprint: string,
    serverId: string,
    ranMs?: number,
    parts?: readonly string[],
  ): Promise<void>;
  /** Replaces the router by a new process, which then meets all others. */
  restart(router: number): void;
  /** All routers receive a message of each other one. */
  meet(): void;
  isHeldBack(router: number, fingerprint: string): boolean;
  close(): void;
}

export function createQuarantineFleet(
  count: number,
  random: Random,
  { delaysMs = () => [1] }: FleetNetwork = {},
): QuarantineFleet {
  const addresses = Array.from({ length: count }, (_none, index) => addressOf(index));
  const messages: QuarantineFleet['messages'] = [];
  const saved: QuarantineRecord[] = [];
  const sentBytes = addresses.map(() => 0);

  function createRouter(own: number): RequestQuarantine {
    const note = (message: string) => messages.push({ router: own, message });
    return createRequestQuarantine({
      channel: () => ({
        address: addresses[own] as string,
        async send(bytes, receivers) {
          sentBytes[own] = (sentBytes[own] ?? 0) + bytes.length * receivers.length;
          receivers.forEach((address) => deliver(bytes, own, addresses.indexOf(address)));
        },
        knownPeers: () => addresses.filter((_address, index) => index !== own),
      }),
      serverEnds: {
        hasCrashed: () => Promise.resolve(true),
        isRunning: () => Promise.resolve(false),
      },
      logger: { debug: note, info: note, warn: note, error: note },
      onStatusChanged: (record) => saved.push(record),
      random,
    });
  }

  function deliver(bytes: Buffer, from: number, to: number): void {
    const message = decodeCrashMessage(bytes);
    if (message !== undefined) {
      delaysMs(from, to).forEach((delayMs) => {
        setTimeout(() => fleet.routers[to]?.receive(message), delayMs);
      });
    }
  }

  const fleet: QuarantineFleet = {
    routers: addresses.map((_address, own) => createRouter(own)),
    messages,
    saved,
    sentBytes,
    async crash(router, fingerprint, serverId, ranMs = 0, parts = []) {
      const server = { id: serverId } as BackendServer;
      const startedAtMs = monotonicNowMs() - ranMs;
      const identity = identityOf(fingerprint, parts);
      const call = { identity, requestId: 'q', server, startedAtMs };
      fleet.routers[router]?.noteLost(call);
      await Promise.resolve();
      await Promise.resolve();
    },
    restart(router) {
      fleet.routers[router]?.close();
      fleet.routers[router] = createRouter(router);
    },
    meet() {
      fleet.routers.forEach((router, own) =>
        addresses
          .filter((_address, index) => index !== own)
          .forEach((address) => router.noteContact(address)),
      );
    },
    isHeldBack: (router, fingerprint) =>
      fleet.routers[router]?.guard(identityOf(fingerprint)).heldBackMs() !== undefined,
    close: () => fleet.routers.forEach((router) => router.close()),
  };
  return fleet;
}

/** What a request with this fingerprint is recognised by; parts are given by their own fingerprints. */
export function identityOf(
  fingerprint: string,
  partFingerprints: readonly string[] = [],
): RequestIdentity {
  return { fingerprint: () => fingerprint, partFingerprints };
}

export function addressOf(router: number): string {
  return `10.0.${Math.floor(router / 250)}.${router % 250}:7400`;
}
