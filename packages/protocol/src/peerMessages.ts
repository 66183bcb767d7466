/**
 * Datagrams in which routers report their work in progress at the engines. Amounts are absolute, so that the next
 * datagram makes up for a lost or late one, and rows are compact, so that a change costs tens of bytes.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';
import type { StorePosition } from './storePosition';

/** Estimated size of one stream at an engine. */
export interface StreamEstimate {
  promptTokens: number;
  emittedTokens: number;
  /** Median output length of comparable streams. */
  medianOutputTokens: number;
}

/** Work that one router has in progress at one engine. */
export interface PeerEngineUse {
  serverId: string;
  /** Streams that hold memory at the engine or are about to. */
  streams: StreamEstimate[];
  /** Prompt tokens that the engine, as a prefill engine, has yet to process for the router. */
  prefillTokens: number;
  /** Local prefills: prompts that the engine, as a decode engine, prefills itself for the router. */
  ownPrompts: number;
  /** The engine is unresponsive: it did not answer the sender, which polls it. */
  isSilent: boolean;
}

/** A router, and the time since any router last received a message from it. */
export interface PeerContact {
  address: string;
  ageMs: number;
}

export interface PeerMessage {
  /** `ip:port` at which the sender receives such messages. */
  senderAddress: string;
  /** Increases with each message of one incarnation of the sender. */
  sequence: number;
  /** Identifies an incarnation of the sender, which changes when it restarts. */
  life: string;
  /** Whether `engines` covers all of the sender's work in progress rather than only changes. */
  isFull: boolean;
  engines: PeerEngineUse[];
  /** Other routers known to the sender. */
  peers: PeerContact[];
  /** For each kind of object that routers follow, the newest revision that the sender has seen. */
  seenRevisions: StorePosition[];
}

const count = z.number().int().nonnegative();
const flag = z.union([z.literal(0), z.literal(1)]);
const addressSchema = z.string().regex(/^[\d.]{7,15}:\d{1,5}$/);

/** Values are identified by position, because property names would make up most of a message. */
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
  const contacts = message.peers.map(({ address, ageMs }) => [
    address,
    Math.round(ageMs / msPerAgeUnit),
  ]);
  return Buffer.from(JSON.stringify([...head, rows, contacts, message.seenRevisions]));
}

/** Checks only the first bytes, without parsing. */
export function isPeerMessage(bytes: Buffer): boolean {
  return bytes.subarray(0, formatStart.length).equals(formatStart);
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const parsed = parseDatagram(bytes, wireSchema);
  if (parsed === undefined) {
    return undefined;
  }
  const [, senderAddress, life, sequence, full, rows, contacts, seenRevisions] = parsed;
  return {
    senderAddress,
    life,
    sequence,
    isFull: full === 1,
    engines: rows.map(([serverId, prefillTokens, ownPrompts, unresponsive, numbers]) => ({
      serverId,
      streams: decodeStreams(numbers),
      prefillTokens,
      ownPrompts,
      isSilent: unresponsive === 1,
    })),
    peers: contacts.map(([address, age]) => ({ address, ageMs: age * msPerAgeUnit })),
    seenRevisions,
  };
}

function encodeStream({
  promptTokens,
  emittedTokens,
  medianOutputTokens,
}: StreamEstimate): number[] {
  return [promptTokens, emittedTokens, medianOutputTokens].map(Math.round);
}

function decodeStreams(numbers: readonly number[]): StreamEstimate[] {
  const streamCount = Math.floor(numbers.length / numbersPerStream);
  return Array.from({ length: streamCount }, (_none, index) => {
    const [promptTokens = 0, emittedTokens = 0, medianOutputTokens = 0] = numbers.slice(
      index * numbersPerStream,
    );
    return { promptTokens, emittedTokens, medianOutputTokens };
  });
}
