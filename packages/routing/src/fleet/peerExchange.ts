/**
 * Exchanges with other routers what each has in progress at the engines. Datagrams may be lost or late: they carry
 * absolute amounts, and some heartbeats repeat all of them. The state of a peer that stops sending is discarded.
 * In a large fleet only the routers of one shard exchange their state; gossip of a few addresses to random routers of
 * other shards makes all routers known to each other.
 */
import {
  decodePeerMessage,
  decodeRelayedChanges,
  canEncodeChanges,
  encodePeerMessage,
  encodeRelayedChanges,
  isPeerMessage,
  isRelayedChanges,
  type PeerEngineUse,
  type PeerMessage,
  type PeerContact,
  type RelayedChanges,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { selectEngineUse } from '../servers/engineUse';
import { openDatagramSocket } from './datagramSocket';

export interface PeerExchangeOptions {
  host: string;
  /** The same on all machines; 0 selects a free port. */
  port: number;
  /** Initial routers as `ip:port`; some may no longer exist. */
  seedAddresses: readonly string[];
  /** What this process has in progress at all engines. */
  ownUse: () => PeerEngineUse[];
  onPeerUse(peerAddress: string, engines: readonly PeerEngineUse[], isFull: boolean): void;
  onPeerTimeout(peerAddress: string): void;
  /** The newest revision that this process has seen of each kind of objects, in a fixed order. */
  seenRevisions: () => number[];
  /** Receives all known routers whenever they have changed. */
  onRouters?: (ownAddress: string, addresses: readonly string[]) => void;
  /** The routers to which the state is sent; all known ones if absent. */
  shardPeers?: () => readonly string[];
  onPeerRevisions(revisions: readonly number[]): void;
  /** Receives changes in the store that a shard peer has relayed. */
  onRelayedChanges?: (relayed: RelayedChanges) => void;
  /** Receives datagrams of other formats. */
  onOtherDatagram?: (bytes: Buffer) => void;
  logger: Logger;
  random?: Random;
}

export interface PeerExchange {
  /** `ip:port` of this process. */
  address: string;
  /** Sends a datagram of another format. */
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** Schedules the changed use of an engine to be sent within milliseconds. */
  noteUseChanged(serverId: string): void;
  /** Relays changes in the store to the live shard peers. */
  relayChanges(relayed: RelayedChanges): void;
  /** Adds further initial routers. */
  addSeeds(addresses: readonly string[]): void;
  /** Shard peers that have sent their state within the peer timeout. */
  livePeers(): string[];
  /** The routers, of any shard, that any router has recently heard from. */
  knownPeers(): string[];
  close(): void;
}

interface Peer {
  incarnation?: string;
  sequence: number;
  /** Last message received from it, by this process or by one that reported the contact. */
  lastContactAtMs: number;
  /** When it last sent what it has in progress. */
  useReceivedAtMs: number;
  isLive: boolean;
  /** It has not been sent the full state since it became live. */
  needsFullUse: boolean;
}

/** Changes within this time are sent in one datagram. */
const coalesceMs = 4;
const heartbeatMs = 1_000;
/**
 * Every this many heartbeats the full state is sent; less often with more peers, so that the bytes per second stay
 * about the same.
 */
const minHeartbeatsPerFull = 4;
/** Three heartbeats, and a margin. */
const peerTimeoutMs = 3_200;
/**
 * A peer that no router has heard from for this long is removed. In this time a contact with one router reaches each of
 * 300 others about four times.
 */
const forgetAfterMs = 60_000;
/** Contacts older than this are not passed on: they would keep a stopped router known indefinitely. */
const maxSharedAgeMs = 20_000;
const contactsPerMessage = 10;
/**
 * Larger changes are relayed without their objects, which peers then fetch: a fragmented datagram is lost more often.
 */
const maxRelayBytes = 8_192;
/** Number of routers of other shards that receive contacts with each heartbeat. */
const crossShardTargets = 2;

/** Starts the exchange; rejects if the port is in use. */
export async function startPeerExchange(options: PeerExchangeOptions): Promise<PeerExchange> {
  const { logger, random = Math.random } = options;
  const seeds = new Set<string>();
  const socket = await openDatagramSocket({ host: options.host, port: options.port, logger });
  const ownAddress = socket.address;
  const incarnation = Math.floor(random() * 2 ** 40).toString(36);
  const peers = new Map<string, Peer>();
  const changedServerIds = new Set<string>();
  let sequence = 0;
  let sendTimer: NodeJS.Timeout | undefined;
  let heartbeatCount = 0;
  let hasMembershipChanged = true;
  let isClosed = false;

  function getOrCreatePeer(address: string): Peer {
    const known = peers.get(address);
    if (known !== undefined) {
      return known;
    }
    const peer = {
      sequence: -1,
      lastContactAtMs: monotonicNowMs(),
      useReceivedAtMs: -Infinity,
      isLive: false,
      needsFullUse: true,
    };
    peers.set(address, peer);
    hasMembershipChanged = true;
    return peer;
  }

  /** The routers to which this process sends what it has in progress. */
  function targetPeers(): string[] {
    return [...(options.shardPeers?.() ?? peers.keys())];
  }

  function reportMembership(): void {
    if (hasMembershipChanged) {
      hasMembershipChanged = false;
      options.onRouters?.(ownAddress, [...peers.keys()]);
    }
  }

  /** Records a contact reported by another process; its age keeps a stopped router from being passed around. */
  function notePeerContact({ address, ageMs }: PeerContact): void {
    if (address === ownAddress || ageMs > forgetAfterMs) {
      return;
    }
    const lastContactAtMs = monotonicNowMs() - ageMs;
    const known = peers.get(address);
    if (known === undefined) {
      getOrCreatePeer(address).lastContactAtMs = lastContactAtMs;
    } else {
      known.lastContactAtMs = Math.max(known.lastContactAtMs, lastContactAtMs);
    }
  }

  function send(
    isFull: boolean,
    engines: PeerEngineUse[],
    addresses: readonly string[],
    contacts: PeerContact[] = isFull ? sampleContacts() : [],
  ): Promise<unknown> {
    sequence += 1;
    const message: PeerMessage = {
      senderAddress: ownAddress,
      life: incarnation,
      sequence,
      isFull,
      engines,
      peers: contacts,
      seenRevisions: options.seenRevisions(),
    };
    return socket.send(encodePeerMessage(message), addresses);
  }

  function relayChanges(relayed: RelayedChanges): void {
    const complete = canEncodeChanges(relayed) ? encodeRelayedChanges(relayed) : undefined;
    const bytes =
      complete !== undefined && complete.length <= maxRelayBytes
        ? complete
        : encodeRelayedChanges({ ...relayed, fromRevision: relayed.toRevision, changes: [] });
    void socket.send(bytes, livePeers());
  }

  function addSeeds(addresses: readonly string[]): void {
    addresses
      .filter((address) => address !== ownAddress)
      .forEach((address) => {
        seeds.add(address);
        getOrCreatePeer(address);
      });
  }

  function livePeers(): string[] {
    return targetPeers().filter((address) => peers.get(address)?.isLive);
  }

  function sampleContacts(): PeerContact[] {
    const nowMs = monotonicNowMs();
    const fresh = [...peers].filter(
      ([, peer]) => peer.incarnation !== undefined && nowMs - peer.lastContactAtMs < maxSharedAgeMs,
    );
    return sample(fresh, contactsPerMessage).map(([address, { lastContactAtMs }]) => ({
      address,
      ageMs: Math.max(0, nowMs - lastContactAtMs),
    }));
  }

  function sample<Item>(items: readonly Item[], count: number): Item[] {
    return items
      .map((item) => ({ item, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ item }) => item);
  }

  /** Lets shards learn of each other's routers, and of revisions that one of them has seen. */
  function gossipAcrossShards(shardPeers: readonly string[]): void {
    const known = new Set(shardPeers);
    const others = [...peers.keys()].filter((address) => !known.has(address));
    if (others.length > 0) {
      void send(false, [], sample(others, crossShardTargets), sampleContacts());
    }
  }

  function sendChangedUse(): void {
    sendTimer = undefined;
    const engines = selectEngineUse(options.ownUse(), [...changedServerIds]);
    changedServerIds.clear();
    const live = livePeers();
    if (live.length > 0) {
      void send(false, engines, live);
    }
  }

  function sendHeartbeat(): void {
    const nowMs = monotonicNowMs();
    [...peers].forEach(([address, peer]) => {
      if (peer.isLive && nowMs - peer.useReceivedAtMs > peerTimeoutMs) {
        peer.isLive = false;
        options.onPeerTimeout(address);
        logger.info('peer timed out', { peer: address });
      }
      if (nowMs - peer.lastContactAtMs > forgetAfterMs && !seeds.has(address)) {
        peers.delete(address);
        hasMembershipChanged = true;
      }
    });
    reportMembership();
    const addresses = targetPeers();
    gossipAcrossShards(addresses);
    heartbeatCount += 1;
    if (heartbeatCount % Math.max(minHeartbeatsPerFull, addresses.length) === 0) {
      void send(true, options.ownUse(), addresses);
      return;
    }
    const needsFull = (address: string) => peers.get(address)?.needsFullUse !== false;
    void send(
      false,
      [],
      addresses.filter((address) => !needsFull(address)),
    );
    void send(true, options.ownUse(), addresses.filter(needsFull));
    addresses.forEach((address) => {
      const peer = peers.get(address);
      if (peer?.isLive) {
        peer.needsFullUse = false;
      }
    });
  }

  function receive(bytes: Buffer): void {
    if (isRelayedChanges(bytes)) {
      receiveRelayedChanges(bytes);
    } else if (isPeerMessage(bytes)) {
      receiveUse(bytes);
    } else {
      options.onOtherDatagram?.(bytes);
    }
  }

  function receiveRelayedChanges(bytes: Buffer): void {
    const relayed = decodeRelayedChanges(bytes);
    if (relayed !== undefined) {
      options.onRelayedChanges?.(relayed);
    }
  }

  function receiveUse(bytes: Buffer): void {
    const message = decodePeerMessage(bytes);
    if (message === undefined || message.senderAddress === ownAddress) {
      return;
    }
    const peer = getOrCreatePeer(message.senderAddress);
    if (message.life === peer.incarnation && message.sequence <= peer.sequence) {
      return;
    }
    if (message.life !== peer.incarnation || !peer.isLive) {
      peer.needsFullUse = true;
    }
    Object.assign(peer, { incarnation: message.life, sequence: message.sequence });
    peer.lastContactAtMs = monotonicNowMs();
    if (isFromShardPeer(message)) {
      noteShardPeer(message.senderAddress, peer);
      options.onPeerUse(message.senderAddress, message.engines, message.isFull);
    }
    options.onPeerRevisions(message.seenRevisions);
    message.peers.forEach(notePeerContact);
    reportMembership();
  }

  /**
   * A router of another shard sends contacts only, unless its view of the shards differs and it counts this router as
   * a shard peer.
   */
  function isFromShardPeer({ senderAddress, isFull, engines }: PeerMessage): boolean {
    return isFull || engines.length > 0 || targetPeers().includes(senderAddress);
  }

  function noteShardPeer(address: string, peer: Peer): void {
    peer.useReceivedAtMs = monotonicNowMs();
    if (!peer.isLive) {
      peer.isLive = true;
      logger.info('peer live', { peer: address });
    }
  }

  socket.onMessage(receive);
  addSeeds(options.seedAddresses);
  const heartbeatTimer = setInterval(sendHeartbeat, heartbeatMs);
  sendHeartbeat();

  return {
    address: ownAddress,
    send: socket.send,
    noteUseChanged(serverId) {
      changedServerIds.add(serverId);
      if (!isClosed) {
        sendTimer ??= setTimeout(sendChangedUse, coalesceMs);
      }
    },
    relayChanges,
    addSeeds,
    livePeers,
    knownPeers: () => [...peers.keys()],
    close() {
      if (isClosed) {
        return;
      }
      isClosed = true;
      clearInterval(heartbeatTimer);
      clearTimeout(sendTimer);
      // The empty full state makes peers stop counting what this process had in progress.
      void send(true, [], targetPeers()).then(() => socket.close());
    },
  };
}
