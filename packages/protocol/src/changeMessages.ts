/**
 * Datagrams by which routers that watch the platform's objects tell others what changed. Each covers the changes
 * between two revisions, so that a receiver knows whether it has missed any. Routers that do not know the format take it
 * for no message and follow the objects themselves.
 */
import * as z from 'zod';
import { readDatagram } from './datagram';
import type { StorePosition } from './storePosition';

export type ToldChange =
  | { kind: 'put'; key: string; revision: StorePosition; value: unknown }
  | { kind: 'removed'; key: string; revision: StorePosition };

/** All changes of one kind of objects after one revision, up to and with another. */
export interface ToldChanges {
  /** Which of the kinds that routers follow, in their fixed order. */
  kindIndex: number;
  fromRevision: StorePosition;
  toRevision: StorePosition;
  changes: ToldChange[];
  /** Since the platform answered the sender. */
  ageMs: number;
  /** Since the platform came back after it had been away; absent where it was not. */
  backAgeMs?: number;
}

const count = z.number().int().nonnegative();
const formatName = 'changes-1';
/** A removed object has no value in its row. */
const removedLength = 2;
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

export function encodeToldChanges(told: ToldChanges): Buffer {
  const { kindIndex, fromRevision, toRevision, ageMs, backAgeMs } = told;
  const rows = told.changes.map(encodeChange);
  const head = [formatName, kindIndex, fromRevision, toRevision, Math.round(ageMs)];
  return Buffer.from(
    JSON.stringify([...head, backAgeMs === undefined ? null : Math.round(backAgeMs), rows]),
  );
}

/** By its first bytes, before it is parsed. */
export function isToldChanges(bytes: Buffer): boolean {
  return bytes.subarray(0, formatStart.length).equals(formatStart);
}

/** Undefined for anything that is not such a message. */
export function decodeToldChanges(bytes: Buffer): ToldChanges | undefined {
  const read = readDatagram(bytes, wireSchema);
  if (read === undefined) {
    return undefined;
  }
  const [, kindIndex, fromRevision, toRevision, ageMs, backAgeMs, rows] = read;
  return {
    kindIndex,
    fromRevision,
    toRevision,
    ageMs,
    backAgeMs: backAgeMs ?? undefined,
    changes: rows.map((row) => {
      const [key, revision] = row;
      return row.length === removedLength
        ? { kind: 'removed', key, revision }
        : { kind: 'put', key, revision, value: row[2] };
    }),
  };
}

function encodeChange(change: ToldChange): unknown[] {
  const { key, revision } = change;
  return change.kind === 'removed' ? [key, revision] : [key, revision, change.value ?? null];
}
