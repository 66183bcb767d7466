/**
 * Datagrams with which a router that has not read the platform itself learns how current its configuration is. It asks
 * a router that has read it. The answer repeats the question's number, so that the age of a delayed answer is counted
 * from the time of the question. Additional elements of later formats are ignored.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';
import type { StorePosition } from './storePosition';

export interface ProofQuestion {
  kind: 'question';
  /** `ip:port` to which the answer is sent. */
  senderAddress: string;
  /** Random number that matches the answer to its question. */
  number: number;
}

export interface ProofAnswer {
  kind: 'answer';
  number: number;
  /** The newest revision of the configuration that the sender has seen. */
  revision: StorePosition;
  /** Time since the sender started the platform call that showed nothing newer; infinite without such a call. */
  ageMs: number;
  /** The configuration in force at the sender; absent if the sender's release does not announce it. */
  configuration?: AnnouncedConfiguration;
}

export interface AnnouncedConfiguration {
  version: number;
  /** Time since it took effect at the sender. */
  ageMs: number;
}

export type ProofMessage = ProofQuestion | ProofAnswer;

const questionName = 'proof-question';
const answerName = 'proof-answer';
/** Encodes infinity, which JSON cannot represent. */
const infiniteAgeMs = 1e12;
const formatStart = Buffer.from('["proof-');
const count = z.number().int().nonnegative();
const wireSchema = z.union([
  z
    .tuple([z.literal(questionName), z.string().regex(/^[\d.]{7,15}:\d{1,5}$/), count])
    .rest(z.unknown()),
  z
    .tuple([z.literal(answerName), count, count, count, z.tuple([count, count]).nullish()])
    .rest(z.unknown()),
]);

export function encodeProofMessage(message: ProofMessage): Buffer {
  const row =
    message.kind === 'question'
      ? [questionName, message.senderAddress, message.number]
      : answerRow(message);
  return Buffer.from(JSON.stringify(row));
}

function answerRow({ number, revision, ageMs, configuration }: ProofAnswer): unknown[] {
  const configurationRow =
    configuration === undefined
      ? null
      : [configuration.version, Math.min(infiniteAgeMs, Math.floor(configuration.ageMs))];
  return [
    answerName,
    number,
    revision,
    Math.min(infiniteAgeMs, Math.ceil(ageMs)),
    configurationRow,
  ];
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodeProofMessage(bytes: Buffer): ProofMessage | undefined {
  if (!bytes.subarray(0, formatStart.length).equals(formatStart)) {
    return undefined;
  }
  const parsed = parseDatagram(bytes, wireSchema);
  if (parsed === undefined) {
    return undefined;
  }
  if (parsed[0] === questionName) {
    return { kind: 'question', senderAddress: parsed[1], number: parsed[2] };
  }
  const [, number, revision, age, configurationRow] = parsed;
  const ageMs = age >= infiniteAgeMs ? Infinity : age;
  return {
    ...{ kind: 'answer', number, revision, ageMs },
    ...(configurationRow
      ? { configuration: { version: configurationRow[0], ageMs: configurationRow[1] } }
      : {}),
  };
}
