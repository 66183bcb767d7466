/**
 * Datagrams by which a router that has not looked at the platform itself learns how fresh its configuration is. It asks
 * one that has; the answer repeats the question's number, so that an answer that was on its way for long is counted
 * from the question on. Further elements of a later format are passed over.
 */
import * as z from 'zod';
import { readDatagram } from './datagram';
import type { StorePosition } from './storePosition';

export interface ProofQuestion {
  kind: 'question';
  /** Where the answer goes. */
  senderAddress: string;
  /** Drawn at random for each question. */
  number: number;
}

export interface ProofAnswer {
  kind: 'answer';
  number: number;
  /** The newest revision of the configuration that the sender has seen. */
  revision: StorePosition;
  /** Since the sender began the call of the platform that showed nothing newer; infinite where none has. */
  ageMs: number;
  /** The configuration that the sender has in force; absent where it is of a release that does not tell. */
  configuration?: ToldConfiguration;
}

export interface ToldConfiguration {
  version: number;
  /** Since the sender has it in force. */
  ageMs: number;
}

export type ProofMessage = ProofQuestion | ProofAnswer;

const questionName = 'proof-question';
const answerName = 'proof-answer';
/** In place of infinity. */
const noProofAgeMs = 1e12;
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
  const told =
    configuration === undefined
      ? null
      : [configuration.version, Math.min(noProofAgeMs, Math.floor(configuration.ageMs))];
  return [answerName, number, revision, Math.min(noProofAgeMs, Math.ceil(ageMs)), told];
}

/** Undefined for anything that is not such a message. */
export function decodeProofMessage(bytes: Buffer): ProofMessage | undefined {
  if (!bytes.subarray(0, formatStart.length).equals(formatStart)) {
    return undefined;
  }
  const read = readDatagram(bytes, wireSchema);
  if (read === undefined) {
    return undefined;
  }
  if (read[0] === questionName) {
    return { kind: 'question', senderAddress: read[1], number: read[2] };
  }
  const [, number, revision, age, told] = read;
  const ageMs = age >= noProofAgeMs ? Infinity : age;
  return {
    ...{ kind: 'answer', number, revision, ageMs },
    ...(told ? { configuration: { version: told[0], ageMs: told[1] } } : {}),
  };
}
