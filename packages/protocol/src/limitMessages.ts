/**
 * Datagrams by which routers tell each other of the limits that backend servers name, and ask for permits to send to such
 * a server. Further elements of a later format are passed over, and routers that do not know the format take it for no
 * message.
 */
import * as z from 'zod';
import { readDatagram } from './datagram';

/** What the answers of one server say. */
export interface ToldLimit {
  serverId: string;
  /** Requests a second from all routers together; absent where its answers no longer name a limit. */
  requestsPerSecond?: number;
  /** Since the sender read it in an answer. */
  ageMs: number;
}

export interface LimitNews {
  kind: 'limit-news';
  limits: ToldLimit[];
}

export interface PermitQuestion {
  kind: 'permit-question';
  /** Where the answer goes. */
  senderAddress: string;
  /** Drawn at random for each question. */
  number: number;
  serverId: string;
}

export interface PermitAnswer {
  kind: 'permit-answer';
  number: number;
  isGranted: boolean;
  /** Until there may be one, where there is none now. */
  waitMs: number;
}

export type LimitMessage = LimitNews | PermitQuestion | PermitAnswer;

/** With ids of 24 characters two thousand bytes. */
export const mostToldLimits = 48;
const names = { news: 'limit-news', question: 'permit-question', answer: 'permit-answer' } as const;
const formatStarts = Object.values(names).map((name) => Buffer.from(`["${name}"`));
const count = z.number().int().nonnegative();
const serverId = z.string().min(1).max(256);
const rate = z.number().min(0).max(1e9);
const wireSchema = z.union([
  z
    .tuple([
      z.literal(names.news),
      z.array(z.tuple([serverId, rate.nullable(), count]).rest(z.unknown())).max(mostToldLimits),
    ])
    .rest(z.unknown()),
  z
    .tuple([z.literal(names.question), z.string().regex(/^[\d.]{7,15}:\d{1,5}$/), count, serverId])
    .rest(z.unknown()),
  z
    .tuple([z.literal(names.answer), count, z.union([z.literal(0), z.literal(1)]), count])
    .rest(z.unknown()),
]);

export function encodeLimitMessage(message: LimitMessage): Buffer {
  return Buffer.from(JSON.stringify(rowOf(message)));
}

function rowOf(message: LimitMessage): unknown[] {
  switch (message.kind) {
    case 'limit-news':
      return [
        names.news,
        message.limits
          .slice(0, mostToldLimits)
          .map(({ serverId: id, requestsPerSecond, ageMs }) => [
            id,
            requestsPerSecond ?? null,
            Math.ceil(ageMs),
          ]),
      ];
    case 'permit-question':
      return [names.question, message.senderAddress, message.number, message.serverId];
    case 'permit-answer':
      return [names.answer, message.number, message.isGranted ? 1 : 0, Math.ceil(message.waitMs)];
  }
}

/** Undefined for anything that is not such a message. */
export function decodeLimitMessage(bytes: Buffer): LimitMessage | undefined {
  if (!formatStarts.some((start) => bytes.subarray(0, start.length).equals(start))) {
    return undefined;
  }
  const read = readDatagram(bytes, wireSchema);
  switch (read?.[0]) {
    case undefined:
      return undefined;
    case names.news:
      return {
        kind: 'limit-news',
        limits: read[1].map(([id, requestsPerSecond, ageMs]) => ({
          serverId: id,
          requestsPerSecond: requestsPerSecond ?? undefined,
          ageMs,
        })),
      };
    case names.question:
      return {
        kind: 'permit-question',
        senderAddress: read[1],
        number: read[2],
        serverId: read[3],
      };
    case names.answer:
      return {
        kind: 'permit-answer',
        number: read[1],
        isGranted: read[2] === 1,
        waitMs: read[3],
      };
  }
}
