/** Splits a stream of server-sent events into its events, with a fast path for events of one `data` line. */

export interface StreamEvent {
  /** `message` if the stream does not name the event. */
  name: string;
  data: string;
}

const eventEnd = '\n\n';
const defaultName = 'message';

/** Creates a function that takes the next piece of the stream and returns the events that it completes. */
export function createEventReader(): (piece: string) => StreamEvent[] {
  let rest = '';
  return (piece) => {
    const parts = `${rest}${piece}`.split(eventEnd);
    rest = parts.pop() ?? '';
    return parts.map(parseEvent);
  };
}

/** Reads the events of a response body, which must be decoded as text already. */
export async function* readEvents(body: AsyncIterable<string>): AsyncGenerator<StreamEvent> {
  const read = createEventReader();
  for await (const piece of body) {
    yield* read(piece);
  }
}

function parseEvent(text: string): StreamEvent {
  if (text.startsWith('data: ') && !text.includes('\n')) {
    return { name: defaultName, data: text.slice('data: '.length) };
  }
  const lines = text.split('\n');
  const field = (name: string) =>
    lines
      .filter((line) => line.startsWith(`${name}:`))
      .map((line) => line.slice(name.length + 1).trimStart())
      .join('\n');
  return { name: field('event') || defaultName, data: field('data') };
}
