/**
 * Datagrams with which routers announce which software version has begun a stream, and ask for it. Additional
 * elements of later formats are ignored, and routers that do not know the format ignore the datagram.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';

/** Where a stream began. Only servers of the same service and software version can continue it. */
export interface StreamOrigin {
  serviceName: string;
  softwareVersion: string;
}

export interface StreamOriginMessage {
  kind: StreamOriginMessageKind;
  /** `ip:port` at which the sender receives such messages. */
  senderAddress: string;
  streams: StreamRecord[];
}

export interface StreamRecord {
  /** Digest of the id of the request that brought the stream's first event. */
  digest: string;
  /** Absent in questions, and in answers of routers that do not know the stream. */
  origin?: StreamOrigin;
}

export const streamOriginMessageKinds = {
  /** The streams have begun. */
  announcement: 'announcement',
  question: 'question',
  answer: 'answer',
} as const;
export type StreamOriginMessageKind =
  (typeof streamOriginMessageKinds)[keyof typeof streamOriginMessageKinds];

/** Keeps a datagram below 1,500 bytes with names of usual length. */
export const maxStreamsPerMessage = 16;
const formatName = 'stream';
const formatStart = Buffer.from(`["${formatName}"`);
const name = z.string().max(256);
const digest = z.string().min(1).max(64);
const row = z.union([z.tuple([digest, name, name]).rest(z.unknown()), z.tuple([digest])]);
const wireSchema = z
  .tuple([
    z.literal(formatName),
    z.enum(streamOriginMessageKinds),
    z.string().regex(/^[\d.]{7,15}:\d{1,5}$/),
    z.array(row).max(maxStreamsPerMessage),
  ])
  .rest(z.unknown());

/** Streams beyond the maximum are left out. */
export function encodeStreamOriginMessage(message: StreamOriginMessage): Buffer {
  const { kind, senderAddress, streams } = message;
  const rows = streams
    .slice(0, maxStreamsPerMessage)
    .map(({ digest: key, origin }) =>
      origin === undefined ? [key] : [key, origin.serviceName, origin.softwareVersion],
    );
  return Buffer.from(JSON.stringify([formatName, kind, senderAddress, rows]));
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodeStreamOriginMessage(bytes: Buffer): StreamOriginMessage | undefined {
  if (!bytes.subarray(0, formatStart.length).equals(formatStart)) {
    return undefined;
  }
  const parsed = parseDatagram(bytes, wireSchema);
  if (parsed === undefined) {
    return undefined;
  }
  const [, kind, senderAddress, rows] = parsed;
  return {
    kind,
    senderAddress,
    streams: rows.map(([key, serviceName, softwareVersion]) =>
      serviceName === undefined || softwareVersion === undefined
        ? { digest: key }
        : { digest: key, origin: { serviceName, softwareVersion } },
    ),
  };
}
