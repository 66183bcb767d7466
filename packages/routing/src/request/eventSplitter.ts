/** Splits the bytes of an event stream (server-sent events) into complete events, whose bytes are left unchanged. */

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

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idLine = /^id: ?(\d+)\r?$/m;

export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);

  function push(chunk: Buffer): StreamEvent[] {
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    const events: StreamEvent[] = [];
    let eventEnd = findEventEnd(pending);
    while (eventEnd > 0) {
      events.push(parseEvent(pending.subarray(0, eventEnd)));
      pending = pending.subarray(eventEnd);
      eventEnd = findEventEnd(pending);
    }
    return events;
  }

  return { push, pendingBytes: () => pending.length };
}

/** Returns the position after the first blank line, or 0 if there is none. */
function findEventEnd(bytes: Buffer): number {
  let index = bytes.indexOf(lineFeed);
  while (index >= 0) {
    const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
    if (bytes[next] === lineFeed) {
      return next + 1;
    }
    index = bytes.indexOf(lineFeed, index + 1);
  }
  return 0;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const id = idLine.exec(bytes.toString('latin1'))?.[1];
  return id === undefined ? { bytes } : { id: Number(id), bytes };
}
