/**
 * Datagrams with which routers lend each other further attempts. Additional elements of later formats are ignored, and
 * routers that do not know the format ignore the datagram.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';

export interface AttemptQuestion {
  kind: 'attempt-question';
  /** `ip:port` to which the answer is sent. */
  senderAddress: string;
  /** Random number that identifies the loan among those of the sender. */
  number: number;
  serviceName: string;
  wantedCount: number;
  /** Time from now for which the sender would use the loan. */
  lifetimeMs: number;
}

export interface AttemptAnswer {
  kind: 'attempt-answer';
  number: number;
  /** 0 if the question was refused. */
  lentCount: number;
}

/** Sent once the loan has expired at its borrower. */
export interface AttemptReturn {
  kind: 'attempt-return';
  senderAddress: string;
  number: number;
  unusedCount: number;
}

export type AttemptMessage = AttemptQuestion | AttemptAnswer | AttemptReturn;

export const maxLentAttempts = 64;
const names = {
  question: 'attempt-question',
  answer: 'attempt-answer',
  return: 'attempt-return',
} as const;
const formatStarts = Object.values(names).map((name) => Buffer.from(`["${name}"`));
const address = z.string().regex(/^[\d.]{7,15}:\d{1,5}$/);
const number = z.number().int().nonnegative();
const attempts = z.number().int().min(0).max(maxLentAttempts);
const lifetimeMs = z.number().int().min(1).max(60_000);
const serviceName = z.string().min(1).max(256);
const wireSchema = z.union([
  z
    .tuple([z.literal(names.question), address, number, serviceName, attempts, lifetimeMs])
    .rest(z.unknown()),
  z.tuple([z.literal(names.answer), number, attempts]).rest(z.unknown()),
  z.tuple([z.literal(names.return), address, number, attempts]).rest(z.unknown()),
]);

export function encodeAttemptMessage(message: AttemptMessage): Buffer {
  return Buffer.from(JSON.stringify(rowOf(message)));
}

function rowOf(message: AttemptMessage): unknown[] {
  switch (message.kind) {
    case 'attempt-question':
      return [
        ...[names.question, message.senderAddress, message.number],
        ...[message.serviceName, message.wantedCount, message.lifetimeMs],
      ];
    case 'attempt-answer':
      return [names.answer, message.number, message.lentCount];
    case 'attempt-return':
      return [names.return, message.senderAddress, message.number, message.unusedCount];
  }
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodeAttemptMessage(bytes: Buffer): AttemptMessage | undefined {
  if (!formatStarts.some((start) => bytes.subarray(0, start.length).equals(start))) {
    return undefined;
  }
  const parsed = parseDatagram(bytes, wireSchema);
  switch (parsed?.[0]) {
    case undefined:
      return undefined;
    case names.question:
      return {
        kind: 'attempt-question',
        senderAddress: parsed[1],
        number: parsed[2],
        serviceName: parsed[3],
        wantedCount: parsed[4],
        lifetimeMs: parsed[5],
      };
    case names.answer:
      return { kind: 'attempt-answer', number: parsed[1], lentCount: parsed[2] };
    case names.return:
      return {
        kind: 'attempt-return',
        senderAddress: parsed[1],
        number: parsed[2],
        unusedCount: parsed[3],
      };
  }
}
