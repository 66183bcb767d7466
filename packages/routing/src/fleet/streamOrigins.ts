/**
 * Remembers which software version has begun each stream, so that a caller that takes its stream up again at any router
 * is sent to that version. Each router remembers the streams that it serves, and announces them to a few others, the
 * holders, which are chosen by a hash of the stream's id: a router that receives an unknown stream asks the same ones. The
 * serving router itself has often ended by then.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';
import {
  encodeStreamOriginMessage,
  maxStreamsPerMessage,
  streamOriginMessageKinds,
  type StreamOrigin,
  type StreamOriginMessage,
  type StreamOriginMessageKind,
  type StreamRecord,
} from '@bluebellhitch/protocol';
import { assertNever, digestParts, monotonicNowMs, rendezvousOrder } from '@bluebellhitch/shared';
import { createByteBudget } from './byteBudget';

export interface StreamOriginChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** All known routers, of any shard. */
  knownPeers(): readonly string[];
}

export interface StreamOrigins {
  /** Records that the first event of a stream has been passed on; `streamId` is the id of that event's request. */
  noteBegan(streamId: string, origin: StreamOrigin): void;
  /** Resolves with undefined if neither this router nor the stream's holders know it. Never rejects. */
  find(streamId: string): Promise<StreamOrigin | undefined>;
  /** Several software versions serve in the service from now on: its streams that are still unannounced follow. */
  noteSeveralVersions(serviceName: string): void;
  receive(message: StreamOriginMessage): void;
  close(): void;
}

/** Stands in where no caller resumes a stream. */
export const noStreamOrigins: Pick<StreamOrigins, 'find' | 'noteBegan'> = {
  find: () => Promise.resolve(undefined),
  noteBegan: () => undefined,
};

export interface StreamOriginsOptions {
  channel: () => StreamOriginChannel | undefined;
  /** Whether servers of several software versions are listed in the service. */
  hasSeveralVersions: (serviceName: string) => boolean;
}

interface KnownStream {
  origin: StreamOrigin;
  notedAtMs: number;
  /** It was served here, and has not been announced to other routers. */
  isUnannounced: boolean;
}

interface Question {
  unanswered: Set<string>;
  resolve(origin: StreamOrigin | undefined): void;
}

/**
 * Routers to which each stream is announced. When three in five of all routers are killed at one moment, one of them survives for
 * seven in eight streams.
 */
const holderCount = 4;
/** Streams that begin within this time are announced in one datagram. */
const coalesceMs = 5;
/** A router answers within milliseconds; as datagrams may be lost, it is asked twice. */
const askAgainMs = 60;
const questionTimeoutMs = 200;
/** Callers do not return later: it exceeds the longest time-out of the routes. */
const rememberMs = 120_000;
const maxStreams = 32_768;
const maxQuestions = 1_024;
const digestLength = 20;
/** Where one version serves alone, announcements only spare calls of the store, so half of the bytes is kept back. */
const byteBudget = { bytesPerSecond: 500, maxSavedMs: 300_000, initialMs: 300_000 };
const reservedBytes = 75_000;
/** About the size of a record with its part of the message's head. */
const bytesPerRecord = 70;

export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
  const { channel, hasSeveralVersions } = options;
  const known = createBoundedMap<string, KnownStream>({ maxEntries: maxStreams });
  const questions = createBoundedMap<string, Question[]>({ maxEntries: maxQuestions });
  const budget = createByteBudget(byteBudget);
  const unsent = new Set<string>();
  let sendTimer: NodeJS.Timeout | undefined;

  function originOf(digest: string): StreamOrigin | undefined {
    const stream = known.get(digest);
    const isCurrent = stream !== undefined && monotonicNowMs() - stream.notedAtMs < rememberMs;
    return isCurrent ? stream.origin : undefined;
  }

  /** The routers to which the stream is announced, without this one. */
  function holdersOf(digest: string): string[] {
    const open = channel();
    if (open === undefined) {
      return [];
    }
    const routers = [...new Set([open.address, ...open.knownPeers()])];
    return rendezvousOrder(digest, routers, (address) => address)
      .slice(0, holderCount)
      .filter((address) => address !== open.address);
  }

  function send(kind: StreamOriginMessageKind, streams: StreamRecord[], address: string): void {
    const open = channel();
    if (open !== undefined) {
      const bytes = encodeStreamOriginMessage({ kind, senderAddress: open.address, streams });
      budget.take(bytes.length);
      void open.send(bytes, [address]);
    }
  }

  function announceSoon(digest: string): void {
    unsent.add(digest);
    sendTimer ??= setTimeout(sendAnnouncements, coalesceMs);
    sendTimer.unref();
  }

  function sendAnnouncements(): void {
    sendTimer = undefined;
    const byHolder = new Map<string, StreamRecord[]>();
    let availableBytes = budget.available();
    unsent.forEach((digest) => {
      const stream = known.get(digest);
      if (stream === undefined || availableBytes <= bytesKeptFor(stream.origin)) {
        return;
      }
      stream.isUnannounced = false;
      availableBytes -= holderCount * bytesPerRecord;
      holdersOf(digest).forEach((holder) => {
        const records = byHolder.get(holder) ?? [];
        records.push({ digest, origin: stream.origin });
        byHolder.set(holder, records);
      });
    });
    unsent.clear();
    byHolder.forEach((records, holder) =>
      inMessages(records).forEach((part) =>
        send(streamOriginMessageKinds.announcement, part, holder),
      ),
    );
  }

  /** Bytes that must stay available after an announcement. */
  function bytesKeptFor({ serviceName }: StreamOrigin): number {
    return hasSeveralVersions(serviceName) ? 0 : reservedBytes;
  }

  /** The first origin that was stated remains. */
  function remember(digest: string, stated: StreamOrigin, isUnannounced: boolean): void {
    const origin = originOf(digest) ?? stated;
    known.set(digest, { origin, notedAtMs: monotonicNowMs(), isUnannounced });
  }

  function ask(digest: string): Promise<StreamOrigin | undefined> {
    const holders = holdersOf(digest);
    if (holders.length === 0) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      const askThose = (addresses: Iterable<string>) =>
        [...addresses].forEach((address) =>
          send(streamOriginMessageKinds.question, [{ digest }], address),
        );
      const unanswered = new Set(holders);
      const repeatTimer = setTimeout(() => askThose(unanswered), askAgainMs);
      const timeoutTimer = setTimeout(() => question.resolve(undefined), questionTimeoutMs);
      const question: Question = {
        unanswered,
        resolve(origin) {
          clearTimeout(repeatTimer);
          clearTimeout(timeoutTimer);
          const others = (questions.get(digest) ?? []).filter((other) => other !== question);
          if (others.length === 0) {
            questions.delete(digest);
          } else {
            questions.set(digest, others);
          }
          resolve(origin);
        },
      };
      questions.set(digest, [...(questions.get(digest) ?? []), question]);
      askThose(holders);
    });
  }

  function receiveAnswer({ senderAddress, streams }: StreamOriginMessage): void {
    streams.forEach(({ digest, origin }) => {
      const waiting = questions.get(digest) ?? [];
      if (waiting.length > 0 && origin !== undefined) {
        remember(digest, origin, false);
      }
      waiting.forEach((question) => {
        question.unanswered.delete(senderAddress);
        if (origin !== undefined || question.unanswered.size === 0) {
          question.resolve(origin);
        }
      });
    });
  }

  return {
    noteBegan(streamId, origin) {
      const digest = digestOf(streamId);
      remember(digest, origin, true);
      announceSoon(digest);
    },
    async find(streamId) {
      const digest = digestOf(streamId);
      return originOf(digest) ?? (await ask(digest));
    },
    noteSeveralVersions(serviceName) {
      // The newest first: the others have more likely ended.
      [...known.entries()]
        .reverse()
        .filter(([, stream]) => stream.isUnannounced && stream.origin.serviceName === serviceName)
        .forEach(([digest]) => announceSoon(digest));
    },
    receive(message) {
      const { senderAddress, streams } = message;
      // Anyone may send to the port.
      if (!channel()?.knownPeers().includes(senderAddress)) {
        return;
      }
      switch (message.kind) {
        case 'announcement':
          streams.forEach(({ digest, origin }) => origin && remember(digest, origin, false));
          break;
        case 'question':
          send(
            streamOriginMessageKinds.answer,
            streams.map(({ digest }) => ({ digest, origin: originOf(digest) })),
            senderAddress,
          );
          break;
        case 'answer':
          receiveAnswer(message);
          break;
        default:
          assertNever(message.kind);
      }
    },
    close: () => clearTimeout(sendTimer),
  };
}

function digestOf(streamId: string): string {
  return digestParts([streamId]).slice(0, digestLength);
}

function inMessages(records: readonly StreamRecord[]): StreamRecord[][] {
  const messageCount = Math.ceil(records.length / maxStreamsPerMessage);
  return Array.from({ length: messageCount }, (_none, index) =>
    records.slice(index * maxStreamsPerMessage, (index + 1) * maxStreamsPerMessage),
  );
}
