/**
 * Datagrams with which routers announce the rate limits that backend servers state, and request permits to send to
 * such a server. Additional elements of later formats are ignored, and routers that do not know the format ignore the
 * datagram.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';

/** The limit that the responses of one server state. */
export interface AnnouncedLimit {
  serverId: string;
  /** Requests per second from all routers together; absent if its responses no longer state a limit. */
  requestsPerSecond?: number;
  /** Time since the sender read it in a response. */
  ageMs: number;
}

export interface LimitAnnouncement {
  kind: 'limit-news';
  limits: AnnouncedLimit[];
}

export interface PermitQuestion {
  kind: 'permit-question';
  /** `ip:port` to which the answer is sent. */
  senderAddress: string;
  /** Random number that matches the answer to its question. */
  number: number;
  serverId: string;
}

export interface PermitAnswer {
  kind: 'permit-answer';
  number: number;
  isGranted: boolean;
  /** Time until a permit may be available; 0 if one was granted. */
  waitMs: number;
}

export type LimitMessage = LimitAnnouncement | PermitQuestion | PermitAnswer;

/** Keeps a datagram at about 2,000 bytes with ids of 24 characters. */
export const maxLimitsPerMessage = 48;
const names = {
  announcement: 'limit-news',
  question: 'permit-question',
  answer: 'permit-answer',
} as const;
const formatStarts = Object.values(names).map((name) => Buffer.from(`["${name}"`));
const count = z.number().int().nonnegative();
const serverId = z.string().min(1).max(256);
const rate = z.number().min(0).max(1e9);
const wireSchema = z.union([
  z
    .tuple([
      z.literal(names.announcement),
      z
        .array(z.tuple([serverId, rate.nullable(), count]).rest(z.unknown()))
        .max(maxLimitsPerMessage),
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
        names.announcement,
        message.limits
          .slice(0, maxLimitsPerMessage)
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

/** Returns undefined for bytes that are not a message of this format. */
export function decodeLimitMessage(bytes: Buffer): LimitMessage | undefined {
  if (!formatStarts.some((start) => bytes.subarray(0, start.length).equals(start))) {
    return undefined;
  }
  const parsed = parseDatagram(bytes, wireSchema);
  switch (parsed?.[0]) {
    case undefined:
      return undefined;
    case names.announcement:
      return {
        kind: 'limit-news',
        limits: parsed[1].map(([id, requestsPerSecond, ageMs]) => ({
          serverId: id,
          requestsPerSecond: requestsPerSecond ?? undefined,
          ageMs,
        })),
      };
    case names.question:
      return {
        kind: 'permit-question',
        senderAddress: parsed[1],
        number: parsed[2],
        serverId: parsed[3],
      };
    case names.answer:
      return {
        kind: 'permit-answer',
        number: parsed[1],
        isGranted: parsed[2] === 1,
        waitMs: parsed[3],
      };
  }
}
