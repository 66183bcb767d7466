/** Cuts the bytes of an event stream into whole events, each with its id and its bytes untouched. */

export interface StreamEvent {
  /** Absent where the event has none. */
  id?: number;
  /** The event's bytes with the blank line that ends it. */
  bytes: Buffer;
}

export interface EventSplitter {
  /** Returns the events that the bytes complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of an event that is not complete. */
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
    let endsAt = endOfEvent(pending);
    while (endsAt > 0) {
      events.push(readEvent(pending.subarray(0, endsAt)));
      pending = pending.subarray(endsAt);
      endsAt = endOfEvent(pending);
    }
    return events;
  }

  return { push, pendingBytes: () => pending.length };
}

/** Position behind the first blank line; 0 where there is none. */
function endOfEvent(bytes: Buffer): number {
  let at = bytes.indexOf(lineFeed);
  while (at >= 0) {
    const next = bytes[at + 1] === carriageReturn ? at + 2 : at + 1;
    if (bytes[next] === lineFeed) {
      return next + 1;
    }
    at = bytes.indexOf(lineFeed, at + 1);
  }
  return 0;
}

function readEvent(bytes: Buffer): StreamEvent {
  const id = idLine.exec(bytes.toString('latin1'))?.[1];
  return id === undefined ? { bytes } : { id: Number(id), bytes };
}
