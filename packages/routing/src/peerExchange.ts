/**
 * Tells other routers what this one has in progress at the engines, and hears the same of them. Datagrams may
 * be lost or late: each tells amounts, and a heartbeat repeats all of them. What a silent peer said is dropped.
 * In a large fleet the routers of one part tell each other; a few addresses that go to others at random let each
 * know all.
 */
import {
  decodePeerMessage,
  decodeToldChanges,
  encodePeerMessage,
  encodeToldChanges,
  isPeerMessage,
  isToldChanges,
  type PeerEngineUse,
  type PeerMessage,
  type PeerSighting,
  type ToldChanges,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { openDatagramSocket } from './datagramSocket';
import { usesAt } from './engineLoads';

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
  /** All routers that are known, when they have changed. */
  onRouters?: (ownAddress: string, addresses: readonly string[]) => void;
  /** The routers to tell what is in progress; all, where it is absent. */
  companions?: () => readonly string[];
  onPeerRevisions(revisions: readonly number[]): void;
  /** A companion tells what the store has shown it. */
  onToldChanges?: (told: ToldChanges) => void;
  /** Datagrams of other kinds. */
  onOther?: (bytes: Buffer) => void;
  logger: Logger;
  random?: Random;
}

export interface PeerExchange {
  /** `ip:port` of this process. */
  address: string;
  /** Sends a datagram of another kind. */
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** Has the change at an engine told within milliseconds. */
  noteChange(serverId: string): void;
  /** Tells companions what the store has shown. */
  tellChanges(told: ToldChanges): void;
  /** Further routers to begin with. */
  addSeeds(addresses: readonly string[]): void;
  /** Companions that were heard lately. */
  livePeers(): string[];
  /** Routers that somebody has heard lately. */
  knownPeerCount(): number;
  close(): void;
}

interface Peer {
  life?: string;
  sequence: number;
  /** By this process or by one that told of it. */
  heardAtMs: number;
  /** When it last told what it has in progress. */
  toldAtMs: number;
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
/**
 * A peer that nobody has heard this long is forgotten. News of a router reaches each of 300 others about four
 * times in this time.
 */
const forgetMs = 60_000;
/** Sightings older than this are not passed on: they would keep a router that is gone known for ever. */
const freshMs = 20_000;
const sharedAddresses = 10;
/** Larger changes are announced without their objects, and fetched: a datagram that is cut up is lost more often. */
const mostToldBytes = 8_192;
/** Routers of other parts that are told of routers with each heartbeat. */
const strangersPerBeat = 2;

/** Starts the exchange; rejects where the port is taken. */
export async function startPeerExchange(options: PeerExchangeOptions): Promise<PeerExchange> {
  const { logger, random = Math.random } = options;
  const seeds = new Set<string>();
  const socket = await openDatagramSocket({ host: options.host, port: options.port, logger });
  const ownAddress = socket.address;
  const life = Math.floor(random() * 2 ** 40).toString(36);
  const peers = new Map<string, Peer>();
  const changedIds = new Set<string>();
  let sequence = 0;
  let sendTimer: NodeJS.Timeout | undefined;
  let beatCount = 0;
  let isMembershipNew = true;
  let isClosed = false;

  function knowPeer(address: string): Peer {
    const known = peers.get(address);
    if (known !== undefined) {
      return known;
    }
    const peer = {
      sequence: -1,
      heardAtMs: monotonicNowMs(),
      toldAtMs: -Infinity,
      isLive: false,
      isNew: true,
    };
    peers.set(address, peer);
    isMembershipNew = true;
    return peer;
  }

  /** Those that this process tells what it has in progress. */
  function neighbours(): string[] {
    return [...(options.companions?.() ?? peers.keys())];
  }

  function noteMembership(): void {
    if (isMembershipNew) {
      isMembershipNew = false;
      options.onRouters?.(ownAddress, [...peers.keys()]);
    }
  }

  /** A sighting by another process; ages keep one that is gone from being passed around. */
  function noteSighting({ address, ageMs }: PeerSighting): void {
    if (address === ownAddress || ageMs > forgetMs) {
      return;
    }
    const heardAtMs = monotonicNowMs() - ageMs;
    const known = peers.get(address);
    if (known === undefined) {
      knowPeer(address).heardAtMs = heardAtMs;
    } else {
      known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
    }
  }

  function send(
    isFull: boolean,
    engines: PeerEngineUse[],
    addresses: readonly string[],
    sightings: PeerSighting[] = isFull ? someSightings() : [],
  ): Promise<unknown> {
    sequence += 1;
    const message: PeerMessage = {
      senderAddress: ownAddress,
      life,
      sequence,
      isFull,
      engines,
      peers: sightings,
      seenRevisions: options.seenRevisions(),
    };
    return socket.send(encodePeerMessage(message), addresses);
  }

  function tellChanges(told: ToldChanges): void {
    const whole = encodeToldChanges(told);
    const bytes =
      whole.length <= mostToldBytes
        ? whole
        : encodeToldChanges({ ...told, fromRevision: told.toRevision, changes: [] });
    void socket.send(bytes, livePeers());
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
    return neighbours().filter((address) => peers.get(address)?.isLive);
  }

  function someSightings(): PeerSighting[] {
    const nowMs = monotonicNowMs();
    const fresh = [...peers].filter(
      ([, peer]) => peer.life !== undefined && nowMs - peer.heardAtMs < freshMs,
    );
    return someOf(fresh, sharedAddresses).map(([address, { heardAtMs }]) => ({
      address,
      ageMs: Math.max(0, nowMs - heardAtMs),
    }));
  }

  function someOf<Item>(items: readonly Item[], count: number): Item[] {
    return items
      .map((item) => ({ item, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ item }) => item);
  }

  /** So that parts hear of each other's routers, and of changes that one of them has seen. */
  function tellStrangers(near: readonly string[]): void {
    const known = new Set(near);
    const others = [...peers.keys()].filter((address) => !known.has(address));
    if (others.length > 0) {
      void send(false, [], someOf(others, strangersPerBeat), someSightings());
    }
  }

  function sendChanges(): void {
    sendTimer = undefined;
    const engines = usesAt(options.ownUse(), [...changedIds]);
    changedIds.clear();
    const live = livePeers();
    if (live.length > 0) {
      void send(false, engines, live);
    }
  }

  function beat(): void {
    const nowMs = monotonicNowMs();
    [...peers].forEach(([address, peer]) => {
      if (peer.isLive && nowMs - peer.toldAtMs > silentMs) {
        peer.isLive = false;
        options.onPeerGone(address);
        logger.info('peer silent', { peer: address });
      }
      if (nowMs - peer.heardAtMs > forgetMs && !seeds.has(address)) {
        peers.delete(address);
        isMembershipNew = true;
      }
    });
    noteMembership();
    const addresses = neighbours();
    tellStrangers(addresses);
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
    if (isToldChanges(bytes)) {
      receiveTold(bytes);
    } else if (isPeerMessage(bytes)) {
      receiveUse(bytes);
    } else {
      options.onOther?.(bytes);
    }
  }

  function receiveTold(bytes: Buffer): void {
    const told = decodeToldChanges(bytes);
    if (told !== undefined) {
      options.onToldChanges?.(told);
    }
  }

  function receiveUse(bytes: Buffer): void {
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
    if (isCompanion(message)) {
      noteCompanion(message.senderAddress, peer);
      options.onPeerUse(message.senderAddress, message.engines, message.isFull);
    }
    options.onPeerRevisions(message.seenRevisions);
    message.peers.forEach(noteSighting);
    noteMembership();
  }

  /** A router of another part only tells of routers; one whose view differs may take this one for its own. */
  function isCompanion({ senderAddress, isFull, engines }: PeerMessage): boolean {
    return isFull || engines.length > 0 || neighbours().includes(senderAddress);
  }

  function noteCompanion(address: string, peer: Peer): void {
    peer.toldAtMs = monotonicNowMs();
    if (!peer.isLive) {
      peer.isLive = true;
      logger.info('peer heard', { peer: address });
    }
  }

  socket.onMessage(receive);
  addSeeds(options.seedAddresses);
  const beatTimer = setInterval(beat, heartbeatMs);
  beat();

  return {
    address: ownAddress,
    send: socket.send,
    noteChange(serverId) {
      changedIds.add(serverId);
      if (!isClosed) {
        sendTimer ??= setTimeout(sendChanges, coalesceMs);
      }
    },
    tellChanges,
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
