/**
 * Cuts the bytes of an event stream (`text/event-stream`) into blocks of whole events, so that a parser never keeps a part
 * of one. The part of an event that has arrived is kept compactly here, up to a limit.
 */
import { createBodyBuffer } from './bodyBuffer';

export interface EventBlocks {
  add(bytes: Uint8Array): EventBlock;
}

export type EventBlock =
  /** Text of the events that are whole now; empty if there is none. */
  | { kind: 'events'; text: string }
  /** The event in progress is longer than the limit: the stream has to be ended. */
  | { kind: 'too-long' };

export interface EventBlocksOptions {
  /** From one blank line to the next. */
  maxEventBytes?: number;
}

/** Events carry a token or two, or the progress of a transfer. */
const defaultMaxEventBytes = 65_536;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

export function createEventBlocks({
  maxEventBytes = defaultMaxEventBytes,
}: EventBlocksOptions = {}): EventBlocks {
  let pending = createBodyBuffer();
  const decoder = new TextDecoder();
  const findEnd = createBlankLineFinder();

  function keep(bytes: Buffer): EventBlock {
    pending.append(bytes);
    return pending.length() > maxEventBytes ? { kind: 'too-long' } : { kind: 'events', text: '' };
  }

  function takeWith(bytes: Buffer): Buffer {
    if (pending.length() === 0) {
      return bytes;
    }
    pending.append(bytes);
    const whole = pending.take();
    pending = createBodyBuffer();
    return whole;
  }

  return {
    add(input) {
      const bytes = Buffer.from(input.buffer, input.byteOffset, input.byteLength);
      const end = findEnd(bytes);
      if (end === 0) {
        return keep(bytes);
      }
      const text = decoder.decode(takeWith(bytes.subarray(0, end)));
      const rest = keep(bytes.subarray(end));
      // A parser waits after a carriage return, as a line feed may belong to it.
      return rest.kind === 'too-long'
        ? rest
        : { kind: 'events', text: text.endsWith('\r') ? `${text}\n` : text };
    },
  };
}

/** Finds the position after the last blank line that ends in the given bytes; 0 if there is none. */
function createBlankLineFinder(): (bytes: Buffer) => number {
  let isLineEmpty = true;
  let isAfterReturn = false;

  return (bytes) => {
    let end = 0;
    for (let index = 0; index < bytes.length; index += 1) {
      const byte = bytes[index];
      const isReturn = byte === carriageReturn;
      if (byte === lineFeed && isAfterReturn) {
        // Part of the same line end.
        end = end > 0 && end === index ? index + 1 : end;
      } else {
        const isLineEnd = isReturn || byte === lineFeed;
        end = isLineEnd && isLineEmpty ? index + 1 : end;
        isLineEmpty = isLineEnd;
      }
      isAfterReturn = isReturn;
    }
    return end;
  };
}
