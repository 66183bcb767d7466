/**
 * Datagrams with which routers announce what they have admitted for workspaces. Amounts are totals since the sender
 * started, so that the next datagram makes up for a lost or late one. Additional elements of later formats are ignored,
 * and routers that do not know the format ignore the datagram.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';

export interface AnnouncedUse {
  workspaceName: string;
  /** Total admitted since the sender started, minus refunds. */
  sum: number;
  /** Remaining level of the sender's token bucket; absent if the sender has just started. */
  level?: number;
}

export interface QuotaMessage {
  /** `ip:port` at which the sender receives such messages. */
  senderAddress: string;
  /** Identifies an incarnation of the sender, which changes when it restarts. */
  life: string;
  /** Increases with each message of one incarnation. */
  sequence: number;
  /** The sender is stopping and admits no further requests. */
  isLast: boolean;
  /** The sender is warming up: it started recently and does not know what was admitted before. */
  isYoung: boolean;
  uses: AnnouncedUse[];
}

/** Keeps a datagram at about 2,000 bytes with names of 20 characters. */
export const maxUsesPerMessage = 48;
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
      .max(maxUsesPerMessage),
  ])
  .rest(z.unknown());

export function encodeQuotaMessage(message: QuotaMessage): Buffer {
  const { senderAddress, life, sequence, isLast, isYoung, uses } = message;
  const rows = uses
    .slice(0, maxUsesPerMessage)
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

/** Returns undefined for bytes that are not a message of this format. */
export function decodeQuotaMessage(bytes: Buffer): QuotaMessage | undefined {
  if (!bytes.subarray(0, formatStart.length).equals(formatStart)) {
    return undefined;
  }
  const parsed = parseDatagram(bytes, wireSchema);
  if (parsed === undefined) {
    return undefined;
  }
  const [, senderAddress, life, sequence, last, young, rows] = parsed;
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
