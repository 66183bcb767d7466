/**
 * What a server sends on a connection of an HTTP client, before the parser gets it. The parser's limits count the bytes of names and
 * values, although it keeps two objects for each line of a head or a trailer: a faulty server that sends short lines without
 * an end would make a few bytes cost hundreds. Here input is handed to the parser a few lines at a time, and the
 * call is ended when many lines or bytes have brought its response no nearer to its end.
 */
import type { Socket } from 'node:net';
import { createStatusLineScan } from './statusLineScan';

export interface ConnectionInput {
  /** To be called when the connection is open and before anything is read; once for each connection. */
  watch(socket: Socket): void;
  /** What arrives next is the head of a response: its call is about to be sent. */
  expectHead(): void;
  /** Whether the head that has arrived is two heads: see `createStatusLineScan`. Its response is that of no call. */
  hasJoinedHeads(): boolean;
  /** Bytes received on the connection so far. */
  receivedBytes(): number;
  /** A response has come nearer to its end: its head is complete, a part of its body has arrived, or it has ended. */
  noteProgress(): void;
  /**
   * Hands no more to the parser until `resume`; what it has been handed is still parsed. To be used in place of the client's own
   * pauses: its parser cannot handle the end of a connection while it is paused, and throws.
   */
  pause(): void;
  resume(): void;
  /** Replaces what is called, with the reason, when too much is received without progress. Default: nothing. */
  onFlooded(listener: FloodListener | undefined): void;
}

type FloodListener = (reason: string) => void;

/** Heads, and what stands between the chunks of a body, are much shorter. */
const maxBytesWithoutProgress = 262_144;
/** HTTP servers commonly accept a hundred lines of a head. */
const maxLinesWithoutProgress = 128;
const lineFeed = 0x0a;

export function createConnectionInput(): ConnectionInput {
  let socket: Socket | undefined;
  let progressAtBytes = 0;
  let linesSinceProgress = 0;
  let isPaused = false;
  /** The parser has been handed input, and has not asked for more yet. */
  let isParsing = false;
  let listener: FloodListener | undefined;
  const statusLines = createStatusLineScan();

  const receivedBytes = () => socket?.bytesRead ?? 0;

  function checkBytes(): void {
    if (receivedBytes() - progressAtBytes > maxBytesWithoutProgress) {
      listener?.('answer without an end');
    }
  }

  /** The next lines of the input, of which the rest is put back; null if there are too many. */
  function takeLines(watched: Socket, input: Buffer): Buffer | null {
    if (linesSinceProgress >= maxLinesWithoutProgress) {
      listener?.('too many lines of a head or a trailer');
      return null;
    }
    const { length, lineCount } = measureLines(input, maxLinesWithoutProgress - linesSinceProgress);
    linesSinceProgress += lineCount;
    if (length === input.length) {
      return input;
    }
    watched.unshift(input.subarray(length));
    return input.subarray(0, length);
  }

  return {
    watch(watched) {
      socket = watched;
      progressAtBytes = 0;
      linesSinceProgress = 0;
      isPaused = false;
      statusLines.restart();
      const readAll = watched.read.bind(watched) as (size?: number) => Buffer | null;
      // The parser reads until there is nothing left, and reports progress in between.
      watched.read = (size?: number) => {
        if (size === 0) {
          return readAll(size);
        }
        const input = isPaused ? null : readAll(size);
        const taken = input === null ? null : takeLines(watched, input);
        isParsing = taken !== null;
        if (taken !== null) {
          statusLines.push(taken);
        }
        return taken;
      };
      watched.on('readable', checkBytes);
    },
    expectHead: statusLines.restart,
    hasJoinedHeads: statusLines.hasJoinedLines,
    receivedBytes,
    noteProgress() {
      progressAtBytes = receivedBytes();
      linesSinceProgress = 0;
    },
    pause() {
      isPaused = true;
    },
    resume() {
      if (!isPaused) {
        return;
      }
      isPaused = false;
      // A parser that is at work asks for more by itself, and must not be called again.
      if (!isParsing) {
        socket?.emit('readable');
      }
    },
    onFlooded(nextListener) {
      listener = nextListener;
    },
  };
}

/** Length and number of the first lines, `maxLines` at most; of the whole input if it has fewer. */
function measureLines(input: Buffer, maxLines: number): { length: number; lineCount: number } {
  let length = 0;
  let lineCount = 0;
  while (lineCount < maxLines) {
    const lineEnd = input.indexOf(lineFeed, length);
    if (lineEnd < 0) {
      return { length: input.length, lineCount };
    }
    length = lineEnd + 1;
    lineCount += 1;
  }
  return { length, lineCount };
}
