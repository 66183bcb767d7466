/**
 * Learns how fast backend servers are and tells the other routers of the shard, since each sees only a few samples of
 * each server. Sends what is new about once a second, and a notable change as soon as the node's budget of bytes
 * allows. A row that is lost is made up for by its repetition or by the next sample.
 */
import {
  createBoundedMap,
  createLearnedEstimates,
  type EstimateSummary,
  type LearnedEstimates,
} from '@bluebellhitch/decisions';
import {
  encodeSpeedMessage,
  estimateKinds,
  maxSpeedRows,
  serverKey,
  speedHeadBytes,
  speedRowBytes,
  type EstimateKind,
  type SpeedMessage,
  type SpeedRow,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { createByteBudget } from './byteBudget';

export interface SpeedChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** Shard peers that have sent a message within the peer timeout. */
  livePeers(): readonly string[];
}

/** Estimates of one kind. */
export interface ServerSpeeds {
  /** Adds a sample of this router; values that are not above 0 are ignored. */
  observe(serverId: string, value: number): void;
  /** Undefined if neither this router nor a peer has a recent sample. */
  estimate(serverId: string): number | undefined;
  /** Median over the servers with an estimate. */
  typical(): number | undefined;
}

export interface SpeedExchange {
  of(kind: EstimateKind): ServerSpeeds;
  receive(message: SpeedMessage): void;
  /** The server has been listed: peers' rows on it are accepted from now on. */
  noteListed(serverId: string): void;
  forget(serverId: string): void;
  dropPeer(peerAddress: string): void;
  close(): void;
}

export interface SpeedExchangeOptions {
  channel: () => SpeedChannel | undefined;
  logger: Logger;
  /** Receives the number of rows and bytes of each sending, over all peers. */
  onSent?: (rows: number, bytes: number) => void;
  random?: Random;
}

interface UnsentRow {
  kind: EstimateKind;
  serverId: string;
  sendsLeft: number;
}

const intervalMs = 1_000;
/** Estimates that change notably are sent after this time, together with others that do. */
const coalesceMs = 20;
/** An estimate that differs by this factor from the one last sent is sent before the interval ends. */
const notableRatio = 1.5;
/** A prompt may have waited for others that this router did not know of, so one does not show an engine's speed. */
const minPrefillSamples = 2;
/** Each row is sent this many times, as datagrams may be lost. */
const sendsPerRow = 2;
/** To all peers together; leaves a quarter of a node's 2 KB per second to other messages. */
const byteBudget = { bytesPerSecond: 1_500, maxSavedMs: 2_000, initialMs: 1_000 };
const maxSenders = 512;
const maxSentValues = 8_192;
const maxUint32 = 2 ** 32;
/** Servers beyond these shares of the typical value are logged as slow or fast. */
const bandRatios = { low: 0.7, high: 1.4 } as const;

export function createSpeedExchange(options: SpeedExchangeOptions): SpeedExchange {
  const { channel, logger, onSent = () => undefined, random = Math.random } = options;
  const kinds = Object.keys(estimateKinds) as EstimateKind[];
  const estimates: Record<EstimateKind, LearnedEstimates> = {
    prefillSpeed: createLearnedEstimates({ minWeight: minPrefillSamples }),
    decodePace: createLearnedEstimates(),
  };
  const incarnation = Math.floor(random() * maxUint32);
  const lastMessages = createBoundedMap<string, Pick<SpeedMessage, 'incarnation' | 'sequence'>>({
    maxEntries: maxSenders,
  });
  const listedIds = new Map<number, Set<string>>();
  const unsentRows = new Map<string, UnsentRow>();
  const sentValues = createBoundedMap<string, number>({ maxEntries: maxSentValues });
  const bands = createBoundedMap<string, string>({ maxEntries: maxSentValues });
  let sequence = 0;
  const budget = createByteBudget(byteBudget);
  let urgentTimer: NodeJS.Timeout | undefined;
  const timer = setInterval(sendUnsent, intervalMs);
  timer.unref();

  /** Rows to send, those that were never sent first. Forgets rows whose samples have expired. */
  function takeUnsent(maxRows: number): SpeedRow[] {
    const known = new Map(
      kinds.flatMap((kind) =>
        estimates[kind]
          .ownSince(-Infinity, monotonicNowMs())
          .map((summary): [string, EstimateSummary] => [keyOf(kind, summary.serverId), summary]),
      ),
    );
    [...unsentRows.keys()]
      .filter((key) => !known.has(key))
      .forEach((key) => unsentRows.delete(key));
    return [...unsentRows]
      .sort(([, left], [, right]) => right.sendsLeft - left.sendsLeft)
      .slice(0, maxRows)
      .flatMap(([key, row]) => {
        const summary = known.get(key);
        noteSent(key, row);
        return summary === undefined ? [] : [rowOf(row.kind, summary)];
      });
  }

  function noteSent(key: string, row: UnsentRow): void {
    row.sendsLeft -= 1;
    const sent = estimates[row.kind].estimate(row.serverId, monotonicNowMs());
    if (sent !== undefined) {
      sentValues.set(key, sent);
    }
    // A row that is repeated waits behind those that were noted meanwhile.
    unsentRows.delete(key);
    if (row.sendsLeft > 0) {
      unsentRows.set(key, row);
    }
  }

  function sendUnsent(): void {
    clearTimeout(urgentTimer);
    urgentTimer = undefined;
    const open = channel();
    const peers = open?.livePeers() ?? [];
    const bytesPerPeer = budget.available() / Math.max(1, peers.length);
    const maxRows = Math.floor((bytesPerPeer - speedHeadBytes) / speedRowBytes);
    if (open === undefined || peers.length === 0 || maxRows < 1) {
      return;
    }
    const rows = takeUnsent(Math.min(maxSpeedRows, maxRows));
    if (rows.length === 0) {
      return;
    }
    sequence += 1;
    const { address: senderAddress } = open;
    const bytes = encodeSpeedMessage({ senderAddress, incarnation, sequence, rows });
    if (bytes !== undefined) {
      void open.send(bytes, peers);
      budget.take(bytes.length * peers.length);
      onSent(rows.length * peers.length, bytes.length * peers.length);
    }
  }

  function observe(kind: EstimateKind, serverId: string, value: number): void {
    if (!(value > 0) || !listedIds.get(serverKey(serverId))?.has(serverId)) {
      return;
    }
    const nowMs = monotonicNowMs();
    estimates[kind].observe(serverId, value, nowMs);
    const key = keyOf(kind, serverId);
    unsentRows.set(key, { kind, serverId, sendsLeft: sendsPerRow });
    const now = estimates[kind].estimate(serverId, nowMs) ?? value;
    const sent = sentValues.get(key) ?? estimates[kind].typical(nowMs) ?? now;
    if (Math.max(now / sent, sent / now) >= notableRatio) {
      sentValues.set(key, now);
      urgentTimer ??= setTimeout(sendUnsent, coalesceMs);
    }
    logBand(kind, serverId, now);
  }

  function logBand(kind: EstimateKind, serverId: string, value: number): void {
    const typical = estimates[kind].typical(monotonicNowMs()) ?? value;
    const band = bandOf(value / typical);
    const key = keyOf(kind, serverId);
    if (band !== (bands.get(key) ?? 'typical')) {
      bands.set(key, band);
      logger.info('server speed', { id: serverId, kind, band, value, typical });
    }
  }

  function receive(message: SpeedMessage): void {
    const { senderAddress, rows } = message;
    const last = lastMessages.get(senderAddress);
    const isStale = last?.incarnation === message.incarnation && message.sequence <= last.sequence;
    // Anyone may send to the port: only peers that take part in the exchange are heard.
    if (isStale || !channel()?.livePeers().includes(senderAddress)) {
      return;
    }
    const { incarnation: senderIncarnation, sequence: senderSequence } = message;
    lastMessages.set(senderAddress, { incarnation: senderIncarnation, sequence: senderSequence });
    const nowMs = monotonicNowMs();
    kinds.forEach((kind) => {
      const summaries = rows.filter((row) => row.kind === kind).flatMap(summariesOf);
      estimates[kind].applyRemote(senderAddress, summaries, nowMs);
    });
  }

  /** None if the server is not listed here, or if its key is ambiguous. */
  function summariesOf({ serverKey: key, value, weight, ageMs }: SpeedRow): EstimateSummary[] {
    const [serverId, another] = listedIds.get(key) ?? [];
    return serverId === undefined || another !== undefined
      ? []
      : [{ serverId, value, weight, ageMs }];
  }

  return {
    of: (kind) => ({
      observe: (serverId, value) => observe(kind, serverId, value),
      estimate: (serverId) => estimates[kind].estimate(serverId, monotonicNowMs()),
      typical: () => estimates[kind].typical(monotonicNowMs()),
    }),
    receive,
    noteListed(serverId) {
      const key = serverKey(serverId);
      listedIds.set(key, (listedIds.get(key) ?? new Set()).add(serverId));
    },
    forget(serverId) {
      const key = serverKey(serverId);
      listedIds.get(key)?.delete(serverId);
      if (listedIds.get(key)?.size === 0) {
        listedIds.delete(key);
      }
      kinds.forEach((kind) => {
        estimates[kind].forget(serverId);
        unsentRows.delete(keyOf(kind, serverId));
        sentValues.delete(keyOf(kind, serverId));
        bands.delete(keyOf(kind, serverId));
      });
    },
    dropPeer(peerAddress) {
      lastMessages.delete(peerAddress);
      kinds.forEach((kind) => estimates[kind].dropPeer(peerAddress));
    },
    close() {
      clearInterval(timer);
      clearTimeout(urgentTimer);
    },
  };
}

function keyOf(kind: EstimateKind, serverId: string): string {
  return `${kind} ${serverId}`;
}

function rowOf(kind: EstimateKind, summary: EstimateSummary): SpeedRow {
  const { serverId, value, weight, ageMs } = summary;
  return { serverKey: serverKey(serverId), kind, value, weight, ageMs };
}

function bandOf(ratio: number): string {
  if (ratio < bandRatios.low) {
    return 'below-typical';
  }
  return ratio > bandRatios.high ? 'above-typical' : 'typical';
}
