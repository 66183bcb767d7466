/**
 * Datagrams in which routers tell each other what they have learned of the backend servers' speeds. Rows are absolute,
 * so that a later one makes up for a lost one. The format is binary, because a row is sent to each router of the shard
 * for about every request. All numbers are big-endian:
 *
 *     4 bytes format, 4 IPv4 address and 2 port of the sender, 4 incarnation, 4 sequence, then for each row
 *     4 server key, 1 kind, 1 age, 1 weight, 2 logarithm of the value
 *
 * Rows of unknown kinds are skipped, and routers that do not know the format ignore the datagram.
 */
import { hash64 } from '@bluebellhitch/shared';

/** Kinds of estimates, with their codes in a message. */
export const estimateKinds = {
  /** Prompt tokens that an engine processes per millisecond, without waiting. */
  prefillSpeed: 1,
  /** Milliseconds between the events of a stream. */
  decodePace: 2,
} as const;

export type EstimateKind = keyof typeof estimateKinds;

export interface SpeedRow {
  /** `serverKey` of the server's id. */
  serverKey: number;
  kind: EstimateKind;
  /** Above 0; accurate to 0.1%. */
  value: number;
  /** Weight of the samples behind it, in steps of 0.1 up to 25.5. */
  weight: number;
  /** Time since the newest sample, in steps of 200 ms up to 51 s. */
  ageMs: number;
}

export interface SpeedMessage {
  /** `ip:port` at which the sender receives such messages. */
  senderAddress: string;
  /** Identifies an incarnation of the sender, which changes when it restarts; 32 bits. */
  incarnation: number;
  /** Increases with each message of one incarnation. */
  sequence: number;
  rows: SpeedRow[];
}

export const speedHeadBytes = 18;
export const speedRowBytes = 9;
/** Keeps a datagram within one packet. */
export const maxSpeedRows = 128;
const formatStart = Buffer.from('spd1');
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const msPerAgeUnit = 200;
const weightUnitsPerSample = 10;
const maxByte = 255;
const logUnits = 1_000;
const maxLog = 32_767;
const maxUint32 = 2 ** 32;

/** Short form of a server's id. Two of 2,900 servers share theirs in 1 of 1,000 fleets. */
export function serverKey(serverId: string): number {
  return Number(hash64(serverId) % BigInt(maxUint32));
}

/** Returns undefined if the sender's address is not an IPv4 address with a port. */
export function encodeSpeedMessage(message: SpeedMessage): Buffer | undefined {
  const { senderAddress, incarnation, sequence } = message;
  const address = addressPattern.exec(senderAddress)?.slice(1).map(Number);
  if (address === undefined) {
    return undefined;
  }
  const [port = 0] = address.slice(-1);
  const rows = message.rows.slice(0, maxSpeedRows);
  const bytes = Buffer.alloc(speedHeadBytes + rows.length * speedRowBytes);
  formatStart.copy(bytes);
  address.slice(0, -1).forEach((part, index) => bytes.writeUInt8(part, 4 + index));
  bytes.writeUInt16BE(port, 8);
  bytes.writeUInt32BE(incarnation, 10);
  bytes.writeUInt32BE(sequence % maxUint32, 14);
  rows.forEach((row, index) => writeRow(bytes, speedHeadBytes + index * speedRowBytes, row));
  return bytes;
}

function writeRow(bytes: Buffer, offset: number, row: SpeedRow): void {
  const log = Math.round(Math.log(row.value) * logUnits);
  bytes.writeUInt32BE(row.serverKey, offset);
  bytes.writeUInt8(estimateKinds[row.kind], offset + 4);
  bytes.writeUInt8(toByte(row.ageMs / msPerAgeUnit), offset + 5);
  bytes.writeUInt8(toByte(row.weight * weightUnitsPerSample), offset + 6);
  bytes.writeInt16BE(Math.min(maxLog, Math.max(-maxLog, log)), offset + 7);
}

function toByte(value: number): number {
  return Math.min(maxByte, Math.max(0, Math.round(value)));
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodeSpeedMessage(bytes: Buffer): SpeedMessage | undefined {
  const rowBytes = bytes.length - speedHeadBytes;
  const rowCount = rowBytes / speedRowBytes;
  if (
    !bytes.subarray(0, formatStart.length).equals(formatStart) ||
    !Number.isInteger(rowCount) ||
    rowCount < 0 ||
    rowCount > maxSpeedRows
  ) {
    return undefined;
  }
  const ip = [...bytes.subarray(4, 8)].join('.');
  return {
    senderAddress: `${ip}:${bytes.readUInt16BE(8)}`,
    incarnation: bytes.readUInt32BE(10),
    sequence: bytes.readUInt32BE(14),
    rows: Array.from({ length: rowCount }).flatMap((_none, index) =>
      readRow(bytes, speedHeadBytes + index * speedRowBytes),
    ),
  };
}

function readRow(bytes: Buffer, offset: number): SpeedRow[] {
  const kind = kindOf(bytes.readUInt8(offset + 4));
  return kind === undefined
    ? []
    : [
        {
          serverKey: bytes.readUInt32BE(offset),
          kind,
          value: Math.exp(bytes.readInt16BE(offset + 7) / logUnits),
          weight: bytes.readUInt8(offset + 6) / weightUnitsPerSample,
          ageMs: bytes.readUInt8(offset + 5) * msPerAgeUnit,
        },
      ];
}

function kindOf(code: number): EstimateKind | undefined {
  const kinds = Object.keys(estimateKinds) as EstimateKind[];
  return kinds.find((kind) => estimateKinds[kind] === code);
}
