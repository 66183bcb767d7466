/**
 * Datagrams between routers: what each has in progress at the engines. Amounts are absolute, so that a lost
 * or late datagram is healed by the next, and small, so that a change costs tens of bytes.
 */
import * as z from 'zod';
import { readDatagram } from './datagram';
import type { StorePosition } from './storePosition';

/** One stream at an engine, as far as it is known. */
export interface StreamOutlook {
  promptTokens: number;
  emittedTokens: number;
  /** Half of the streams like it end within so many tokens. */
  medianOutputTokens: number;
}

/** What one router has in progress at one engine. */
export interface PeerEngineUse {
  serverId: string;
  /** Streams that hold memory there, or will in a moment. */
  streams: StreamOutlook[];
  /** Prompt tokens that a prefill engine has yet to read for it. */
  prefillTokens: number;
  /** Prompts that a decode engine reads itself for it. */
  ownPrompts: number;
  /** It did not answer the sender, which looks after it. */
  isSilent: boolean;
}

/** A router and how long ago it was last heard by anyone. */
export interface PeerSighting {
  address: string;
  ageMs: number;
}

export interface PeerMessage {
  /** `ip:port` where the sender takes such messages. */
  senderAddress: string;
  /** Grows with each message of one life of the sender. */
  sequence: number;
  /** Tells two lives of a sender apart. */
  life: string;
  /** The whole of what the sender has in progress; otherwise only what changed. */
  isFull: boolean;
  engines: PeerEngineUse[];
  /** Other routers that the sender knows. */
  peers: PeerSighting[];
  /** For each kind of objects that routers follow: the newest revision that the sender has seen. */
  seenRevisions: StorePosition[];
}

const count = z.number().int().nonnegative();
const flag = z.union([z.literal(0), z.literal(1)]);
const addressSchema = z.string().regex(/^[\d.]{7,15}:\d{1,5}$/);

/** Positions instead of names: the names would be most of a message. */
const wireSchema = z.tuple([
  z.literal(3),
  addressSchema,
  z.string().max(16),
  count,
  flag,
  z.array(z.tuple([z.string().max(64), count, count, flag, z.array(count).max(1_536)])).max(2_048),
  z.array(z.tuple([addressSchema, count])).max(64),
  z.array(count).max(8),
]);

const formatVersion = 3;
const formatStart = Buffer.from(`[${formatVersion},`);
const numbersPerStream = 3;
/** Ages are sent in tenths of a second. */
const msPerAgeUnit = 100;

export function encodePeerMessage(message: PeerMessage): Buffer {
  const { senderAddress, life, sequence, isFull, engines } = message;
  const rows = engines.map((use) => [
    use.serverId,
    Math.round(use.prefillTokens),
    use.ownPrompts,
    use.isSilent ? 1 : 0,
    use.streams.flatMap(encodeStream),
  ]);
  const head = [formatVersion, senderAddress, life, sequence, isFull ? 1 : 0];
  const sightings = message.peers.map(({ address, ageMs }) => [
    address,
    Math.round(ageMs / msPerAgeUnit),
  ]);
  return Buffer.from(JSON.stringify([...head, rows, sightings, message.seenRevisions]));
}

/** By its first bytes, before it is parsed. */
export function isPeerMessage(bytes: Buffer): boolean {
  return bytes.subarray(0, formatStart.length).equals(formatStart);
}

/** Undefined for anything that is not such a message. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const read = readDatagram(bytes, wireSchema);
  if (read === undefined) {
    return undefined;
  }
  const [, senderAddress, life, sequence, full, rows, sightings, seenRevisions] = read;
  return {
    senderAddress,
    life,
    sequence,
    isFull: full === 1,
    engines: rows.map(([serverId, prefillTokens, ownPrompts, silent, numbers]) => ({
      serverId,
      streams: decodeStreams(numbers),
      prefillTokens,
      ownPrompts,
      isSilent: silent === 1,
    })),
    peers: sightings.map(([address, age]) => ({ address, ageMs: age * msPerAgeUnit })),
    seenRevisions,
  };
}

function encodeStream({
  promptTokens,
  emittedTokens,
  medianOutputTokens,
}: StreamOutlook): number[] {
  return [promptTokens, emittedTokens, medianOutputTokens].map(Math.round);
}

function decodeStreams(numbers: readonly number[]): StreamOutlook[] {
  const streamCount = Math.floor(numbers.length / numbersPerStream);
  return Array.from({ length: streamCount }, (_none, index) => {
    const [promptTokens = 0, emittedTokens = 0, medianOutputTokens = 0] = numbers.slice(
      index * numbersPerStream,
    );
    return { promptTokens, emittedTokens, medianOutputTokens };
  });
}
