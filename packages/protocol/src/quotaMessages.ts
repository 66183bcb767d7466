/**
 * Datagrams by which routers tell each other what they have admitted for workspaces. Amounts are sums of the sender's
 * life, so that a lost or late datagram is healed by the next. Further elements of a later format are passed over, and
 * routers that do not know the format take it for no message.
 */
import * as z from 'zod';
import { readDatagram } from './datagram';

export interface ToldUse {
  workspaceName: string;
  /** Admitted in the sender's life, less what was given back. */
  sum: number;
  /** What the sender's account has left; absent where it has just started. */
  level?: number;
}

export interface QuotaMessage {
  /** `ip:port` where the sender takes such messages. */
  senderAddress: string;
  /** Tells two lives of a sender apart. */
  life: string;
  /** Grows with each message of one life. */
  sequence: number;
  /** The sender stops and admits nothing more. */
  isLast: boolean;
  /** The sender started lately, and does not know what was admitted before. */
  isYoung: boolean;
  uses: ToldUse[];
}

/** With names of twenty characters two thousand bytes. */
export const mostToldUses = 48;
const formatName = 'quota';
const formatStart = Buffer.from(`["${formatName}"`);
const amount = z.number().min(-1e15).max(1e15);
const count = z.number().int().nonnegative();
const flag = z.union([z.literal(0), z.literal(1)]);
const wireSchema = z
  .tuple([
    z.literal(formatName),
    z.string().regex(/^[\d.]{7,15}:\d{1,5}$/),
    z.string().max(16),
    count,
    flag,
    flag,
    z
      .array(z.tuple([z.string().max(256), amount, amount.nullable()]).rest(z.unknown()))
      .max(mostToldUses),
  ])
  .rest(z.unknown());

export function encodeQuotaMessage(message: QuotaMessage): Buffer {
  const { senderAddress, life, sequence, isLast, isYoung, uses } = message;
  const rows = uses
    .slice(0, mostToldUses)
    .map(({ workspaceName, sum, level }) => [
      workspaceName,
      Math.round(sum),
      level === undefined ? null : Math.round(level),
    ]);
  return Buffer.from(
    JSON.stringify([
      ...[formatName, senderAddress, life, sequence],
      ...[isLast ? 1 : 0, isYoung ? 1 : 0, rows],
    ]),
  );
}

/** Undefined for anything that is not such a message. */
export function decodeQuotaMessage(bytes: Buffer): QuotaMessage | undefined {
  if (!bytes.subarray(0, formatStart.length).equals(formatStart)) {
    return undefined;
  }
  const read = readDatagram(bytes, wireSchema);
  if (read === undefined) {
    return undefined;
  }
  const [, senderAddress, life, sequence, last, young, rows] = read;
  return {
    senderAddress,
    life,
    sequence,
    isLast: last === 1,
    isYoung: young === 1,
    uses: rows.map(([workspaceName, sum, level]) => ({
      workspaceName,
      sum,
      level: level ?? undefined,
    })),
  };
}
