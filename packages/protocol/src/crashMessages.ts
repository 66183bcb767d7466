/**
 * Datagrams with which routers announce which requests, and parts of prompts, have crashed backend servers. A datagram holds all that its
 * sender knows of a request, so that the next one makes up for a lost one, and late or repeated ones do no harm.
 * Additional elements of later formats are ignored, and routers that do not know the format ignore the datagram.
 */
import * as z from 'zod';
import { parseDatagram } from './datagram';

/** A server that ended while it ran the request. */
export interface AnnouncedCrash {
  /** Id of the server's incarnation. */
  serverId: string;
  /** Time since it ended. */
  ageMs: number;
  /** How long the request had been there until it ended. */
  durationMs: number;
  /** The request has completed since, so it did not cause the crash. */
  isCleared: boolean;
}

export interface CrashingRequest {
  /** Identifies the request's content, or a part of prompts that requests share. */
  fingerprint: string;
  /** Position of the part in its prompts, from 0; absent for a whole request. */
  depth?: number;
  /** Time since a server has written on the part without harm, as far as the sender knows. */
  soundAgeMs?: number;
  crashes: AnnouncedCrash[];
}

export interface CrashMessage {
  /** `ip:port` at which the sender receives such messages. */
  senderAddress: string;
  /** The sender asks for what the receiver knows. */
  isQuestion: boolean;
  requests: CrashingRequest[];
}

/** These two keep a datagram at about 2,000 bytes with ids of 24 characters. */
export const maxRequestsPerMessage = 6;
export const maxCrashesPerRequest = 8;
const formatName = 'crash';
const formatStart = Buffer.from(`["${formatName}"`);
const flag = z.union([z.literal(0), z.literal(1)]);
const duration = z.number().nonnegative();
const crash = z.tuple([z.string().min(1).max(256), duration, duration, flag]);
const wireSchema = z
  .tuple([
    z.literal(formatName),
    z.string().regex(/^[\d.]{7,15}:\d{1,5}$/),
    flag,
    z
      .array(
        z
          .tuple([
            z.string().min(1).max(64),
            z.array(crash.rest(z.unknown())).max(maxCrashesPerRequest),
            z.number().int().nonnegative().optional().catch(undefined),
            duration.optional().catch(undefined),
          ])
          .rest(z.unknown()),
      )
      .max(maxRequestsPerMessage),
  ])
  .rest(z.unknown());

/** Requests and crashes beyond the maximum are left out; the first ones are kept. */
export function encodeCrashMessage({ senderAddress, isQuestion, requests }: CrashMessage): Buffer {
  const rows = requests
    .slice(0, maxRequestsPerMessage)
    .map(({ fingerprint, crashes, depth, soundAgeMs }) => [
      fingerprint,
      crashes
        .slice(0, maxCrashesPerRequest)
        .map(({ serverId, ageMs, durationMs, isCleared }) => [
          serverId,
          Math.max(0, Math.round(ageMs)),
          Math.max(0, Math.round(durationMs)),
          isCleared ? 1 : 0,
        ]),
      ...(depth === undefined ? [] : [depth]),
      ...(depth === undefined || soundAgeMs === undefined ? [] : [Math.round(soundAgeMs)]),
    ]);
  return Buffer.from(JSON.stringify([formatName, senderAddress, isQuestion ? 1 : 0, rows]));
}

/** Returns undefined for bytes that are not a message of this format. */
export function decodeCrashMessage(bytes: Buffer): CrashMessage | undefined {
  if (!bytes.subarray(0, formatStart.length).equals(formatStart)) {
    return undefined;
  }
  const parsed = parseDatagram(bytes, wireSchema);
  if (parsed === undefined) {
    return undefined;
  }
  const [, senderAddress, question, rows] = parsed;
  return {
    senderAddress,
    isQuestion: question === 1,
    requests: rows.map(([fingerprint, crashes, depth, soundAgeMs]) => ({
      fingerprint,
      ...(depth === undefined ? {} : { depth }),
      ...(soundAgeMs === undefined ? {} : { soundAgeMs }),
      crashes: crashes.map(([serverId, ageMs, durationMs, cleared]) => ({
        serverId,
        ageMs,
        durationMs,
        isCleared: cleared === 1,
      })),
    })),
  };
}
