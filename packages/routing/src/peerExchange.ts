/**
 * Tells other routers what this one has in progress at the engines, and hears the same of them. Datagrams may
 * be lost or late: each tells amounts, and a heartbeat repeats all of them. What a silent peer said is dropped.
 */
import { createSocket, type Socket } from 'node:dgram';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerEngineUse,
  type PeerMessage,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, rendezvousOrder, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';

export interface PeerExchangeOptions {
  host: string;
  /** The same on all machines; 0 takes a free one. */
  port: number;
  /** `ip:port` of routers to begin with; they may be gone. */
  seedAddresses: readonly string[];
  /** What this process has in progress at all engines. */
  ownUse: () => PeerEngineUse[];
  onPeerUse(peerAddress: string, engines: readonly PeerEngineUse[], isFull: boolean): void;
  onPeerGone(peerAddress: string): void;
  /** What this process has seen of each kind of objects, in a fixed order. */
  seenRevisions: () => number[];
  onPeerRevisions(revisions: readonly number[]): void;
  logger: Logger;
  random?: Random;
}

export interface PeerExchange {
  /** `ip:port` of this process. */
  address: string;
  /** Has the change at an engine told within milliseconds. */
  noteChange(serverId: string): void;
  /** Further routers to begin with. */
  addSeeds(addresses: readonly string[]): void;
  /** Peers that were heard lately. */
  livePeers(): string[];
  /** Peers that were told of lately, those that are not heard too. */
  knownPeerCount(): number;
  close(): void;
}

interface Peer {
  life?: string;
  sequence: number;
  heardAtMs: number;
  isLive: boolean;
  /** It has not been told all amounts since it was heard. */
  isNew: boolean;
}

/** Changes of this time go into one datagram. */
const coalesceMs = 4;
const heartbeatMs = 1_000;
/**
 * Heartbeats between two that repeat all amounts; more where there are more peers to be told, so that their
 * bytes in a second stay about the same.
 */
const leastBeatsPerFull = 4;
/** Three heartbeats. */
const silentMs = 3_200;
/** A peer that was gone this long is forgotten. */
const forgetMs = 30_000;
/**
 * Bounds what a process says, however many routers there are. Fewer cost more than they save: of 21 routers,
 * each telling 16, many streams were placed where others had just placed theirs.
 */
const maxPeers = 24;
const sharedAddresses = 6;

/** Starts the exchange; rejects where the port is taken. */
export async function startPeerExchange(options: PeerExchangeOptions): Promise<PeerExchange> {
  const { logger, random = Math.random } = options;
  const seeds = new Set<string>();
  const socket = createSocket('udp4');
  const port = await bind(socket, options.host, options.port);
  const ownAddress = `${options.host}:${port}`;
  const life = Math.floor(random() * 2 ** 40).toString(36);
  const peers = new Map<string, Peer>();
  const changedIds = new Set<string>();
  let sequence = 0;
  let sendTimer: NodeJS.Timeout | undefined;
  let beatCount = 0;
  let isClosed = false;

  function knowPeer(address: string): Peer {
    const known = peers.get(address);
    if (known !== undefined) {
      return known;
    }
    const peer = { sequence: -1, heardAtMs: monotonicNowMs(), isLive: false, isNew: true };
    peers.set(address, peer);
    return peer;
  }

  /** Those that this process talks to: all of a small fleet, always the same part of a large one. */
  function neighbours(): string[] {
    const addresses = [...peers.keys()];
    return addresses.length <= maxPeers
      ? addresses
      : rendezvousOrder(ownAddress, addresses, (address) => address).slice(0, maxPeers);
  }

  function send(
    isFull: boolean,
    engines: PeerEngineUse[],
    addresses: readonly string[],
  ): Promise<unknown> {
    sequence += 1;
    const message: PeerMessage = {
      senderAddress: ownAddress,
      life,
      sequence,
      isFull,
      engines,
      peerAddresses: isFull ? someLivePeers() : [],
      seenRevisions: options.seenRevisions(),
    };
    const bytes = encodePeerMessage(message);
    const sent = addresses.map(
      (address) =>
        new Promise<void>((resolve) => {
          const [host, peerPort] = address.split(':');
          socket.send(bytes, Number(peerPort), host, (error) => {
            noteSendError(error);
            resolve();
          });
        }),
    );
    return Promise.all(sent);
  }

  function noteSendError(error: Error | null): void {
    if (error !== null) {
      logger.debug('datagram not sent', { error });
    }
  }

  function addSeeds(addresses: readonly string[]): void {
    addresses
      .filter((address) => address !== ownAddress)
      .forEach((address) => {
        seeds.add(address);
        knowPeer(address);
      });
  }

  function livePeers(): string[] {
    return [...peers].filter(([, { isLive }]) => isLive).map(([address]) => address);
  }

  function someLivePeers(): string[] {
    return livePeers()
      .map((address) => ({ address, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, sharedAddresses)
      .map(({ address }) => address);
  }

  function sendChanges(): void {
    sendTimer = undefined;
    const used = new Map(options.ownUse().map((use) => [use.serverId, use]));
    const engines = [...changedIds].map((serverId) => used.get(serverId) ?? unused(serverId));
    changedIds.clear();
    const live = neighbours().filter((address) => peers.get(address)?.isLive);
    if (live.length > 0) {
      void send(false, engines, live);
    }
  }

  function beat(): void {
    const nowMs = monotonicNowMs();
    [...peers].forEach(([address, peer]) => {
      if (peer.isLive && nowMs - peer.heardAtMs > silentMs) {
        peer.isLive = false;
        options.onPeerGone(address);
        logger.info('peer silent', { peer: address });
      }
      if (nowMs - peer.heardAtMs > forgetMs && !seeds.has(address)) {
        peers.delete(address);
      }
    });
    const addresses = neighbours();
    beatCount += 1;
    if (beatCount % Math.max(leastBeatsPerFull, addresses.length) === 0) {
      void send(true, options.ownUse(), addresses);
      return;
    }
    const isNew = (address: string) => peers.get(address)?.isNew !== false;
    void send(
      false,
      [],
      addresses.filter((address) => !isNew(address)),
    );
    void send(true, options.ownUse(), addresses.filter(isNew));
    addresses.forEach((address) => {
      const peer = peers.get(address);
      if (peer?.isLive) {
        peer.isNew = false;
      }
    });
  }

  function receive(bytes: Buffer): void {
    const message = decodePeerMessage(bytes);
    if (message === undefined || message.senderAddress === ownAddress) {
      return;
    }
    const peer = knowPeer(message.senderAddress);
    if (message.life === peer.life && message.sequence <= peer.sequence) {
      return;
    }
    if (message.life !== peer.life || !peer.isLive) {
      peer.isNew = true;
    }
    Object.assign(peer, { life: message.life, sequence: message.sequence });
    peer.heardAtMs = monotonicNowMs();
    if (!peer.isLive) {
      peer.isLive = true;
      logger.info('peer heard', { peer: message.senderAddress });
    }
    options.onPeerUse(message.senderAddress, message.engines, message.isFull);
    options.onPeerRevisions(message.seenRevisions);
    message.peerAddresses.filter((address) => address !== ownAddress).forEach(knowPeer);
  }

  socket.on('message', receive);
  socket.on('error', (error) => logger.warn('peer socket failed', { error }));
  addSeeds(options.seedAddresses);
  const beatTimer = setInterval(beat, heartbeatMs);
  beat();

  return {
    address: ownAddress,
    noteChange(serverId) {
      changedIds.add(serverId);
      if (!isClosed) {
        sendTimer ??= setTimeout(sendChanges, coalesceMs);
      }
    },
    addSeeds,
    livePeers,
    knownPeerCount: () => peers.size,
    close() {
      if (isClosed) {
        return;
      }
      isClosed = true;
      clearInterval(beatTimer);
      clearTimeout(sendTimer);
      // Peers stop counting what this process had in progress.
      void send(true, [], neighbours()).then(() => socket.close());
    },
  };
}

function unused(serverId: string): PeerEngineUse {
  return { serverId, placedTokens: 0, prefillTokens: 0, ownPrompts: 0, isSilent: false };
}

function bind(socket: Socket, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind({ address: host, port }, () => {
      socket.off('error', reject);
      resolve(socket.address().port);
    });
  });
}
