/**
 * Splits the bytes of an event stream (server-sent events) into complete events, whose bytes are left unchanged. Each byte is
 * looked at once and an event that is not complete is held compactly, in however many chunks it arrives.
 */
import { createBodyBuffer } from '@bluebellhitch/ports';

export interface StreamEvent {
  /** Absent if the event has no numeric id. */
  id?: number;
  /** The event's bytes, including the blank line that ends it. */
  bytes: Buffer;
}

export interface EventSplitter {
  /** Returns the events that are completed by the chunk. */
  push(chunk: Buffer): StreamEvent[];
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
}

/** Where in an event the bytes so far end: in a line, after a line feed, or after a line feed and a carriage return. */
type Position = 'in-line' | 'after-line' | 'after-return';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idLine = /^id: ?(\d+)\r?$/m;

export function createEventSplitter(): EventSplitter {
  let pending = createBodyBuffer();
  let position: Position = 'in-line';

  /** Returns the position after the first blank line, or 0 if there is none. */
  function findEventEnd(bytes: Buffer, start: number): number {
    let index = start;
    while (index < bytes.length) {
      if (position === 'in-line') {
        const lineEnd = bytes.indexOf(lineFeed, index);
        if (lineEnd < 0) {
          return 0;
        }
        index = lineEnd + 1;
        position = 'after-line';
      } else if (bytes[index] === lineFeed) {
        position = 'in-line';
        return index + 1;
      } else if (bytes[index] === carriageReturn && position === 'after-line') {
        index += 1;
        position = 'after-return';
      } else {
        position = 'in-line';
      }
    }
    return 0;
  }

  function takeEvent(lastPart: Buffer): StreamEvent {
    if (pending.length() === 0) {
      return parseEvent(lastPart);
    }
    pending.append(lastPart);
    const bytes = pending.take();
    pending = createBodyBuffer();
    return parseEvent(bytes);
  }

  function push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let end = findEventEnd(chunk, start);
    while (end > 0) {
      events.push(takeEvent(chunk.subarray(start, end)));
      start = end;
      end = findEventEnd(chunk, start);
    }
    pending.append(chunk.subarray(start));
    return events;
  }

  return { push, pendingBytes: () => pending.length() };
}

function parseEvent(bytes: Buffer): StreamEvent {
  const id = idLine.exec(bytes.toString('latin1'))?.[1];
  return id === undefined ? { bytes } : { id: Number(id), bytes };
}
