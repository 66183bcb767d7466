/**
 * Datagrams with which routers that watch the platform's objects relay changes to other routers. Each covers the
 * changes between two revisions, so that a receiver can detect missed ones. Routers that do not know the format ignore
 * the datagram and watch the objects themselves.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';
import { canEncode } from './nesting';
import type { StorePosition } from './storePosition';

export type RelayedChange =
  | { kind: 'put'; key: string; revision: StorePosition; value: unknown }
  | { kind: 'removed'; key: string; revision: StorePosition };

/** All changes to one kind of object after `fromRevision`, up to and including `toRevision`. */
export interface RelayedChanges {
  /** Index into the fixed list of object kinds that routers follow. */
  kindIndex: number;
  fromRevision: StorePosition;
  toRevision: StorePosition;
  changes: RelayedChange[];
  /** Time since the platform's last response to the sender. */
  ageMs: number;
  /** Time since the platform became available again after an outage; absent without a recent outage. */
  backAgeMs?: number;
}

const count = z.number().int().nonnegative();
const formatName = 'changes-1';
/** Length of the row of a removed object, which has no value. */
const removedRowLength = 2;
const formatStart = Buffer.from(`["${formatName}"`);
const wireSchema = z.tuple([
  z.literal(formatName),
  count.max(8),
  count,
  count,
  count,
  count.nullable(),
  z
    .array(
      z.union([
        z.tuple([z.string().max(512), count]),
        z.tuple([z.string().max(512), count, z.unknown()]),
      ]),
    )
    .max(512),
]);

/** Whether no object is nested so deeply that encoding it, which is recursive, could fail. */
export function canEncodeChanges({ changes }: RelayedChanges): boolean {
  return changes.every((change) => change.kind === 'removed' || canEncode(change.value));
}

export function encodeRelayedChanges(message: RelayedChanges): Buffer {
  const { kindIndex, fromRevision, toRevision, ageMs, backAgeMs } = message;
  const rows = message.changes.map(encodeChange);
  const head = [formatName, kindIndex, fromRevision, toRevision, Math.round(ageMs)];
  return Buffer.from(
    JSON.stringify([...head, backAgeMs === undefined ? null : Math.round(backAgeMs), rows]),
  );
}

/** Checks only the first bytes, without parsing. */
export function isRelayedChanges(bytes: Buffer): boolean {
  return bytes.subarray(0, formatStart.length).equals(formatStart);
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodeRelayedChanges(bytes: Buffer): RelayedChanges | undefined {
  const parsed = parseDatagram(bytes, wireSchema);
  if (parsed === undefined) {
    return undefined;
  }
  const [, kindIndex, fromRevision, toRevision, ageMs, backAgeMs, rows] = parsed;
  return {
    kindIndex,
    fromRevision,
    toRevision,
    ageMs,
    backAgeMs: backAgeMs ?? undefined,
    changes: rows.map((row) => {
      const [key, revision] = row;
      return row.length === removedRowLength
        ? { kind: 'removed', key, revision }
        : { kind: 'put', key, revision, value: row[2] };
    }),
  };
}

function encodeChange(change: RelayedChange): unknown[] {
  const { key, revision } = change;
  return change.kind === 'removed' ? [key, revision] : [key, revision, change.value ?? null];
}
