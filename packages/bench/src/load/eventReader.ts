/** Splits an event stream into the data of its events, with little work for each one. */

export interface StreamEvent {
  /** `message` where the stream names none. */
  name: string;
  data: string;
}

const eventEnd = '\n\n';
const defaultName = 'message';

/** Creates a function that takes pieces of the stream and returns the events that they complete. */
export function createEventReader(): (piece: string) => StreamEvent[] {
  let rest = '';
  return (piece) => {
    const parts = `${rest}${piece}`.split(eventEnd);
    rest = parts.pop() ?? '';
    return parts.map(parseEvent);
  };
}

/** The events of a response's body, which must be decoded as text. */
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
