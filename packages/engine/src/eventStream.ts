/** Reads an event stream (`text/event-stream`) whose events carry one JSON value each. */
import { createParser } from 'eventsource-parser';
import type { z } from 'zod';

/**
 * Yields each event's value. Ends where the body ends, breaks off or carries a value that the schema
 * refuses; the reader tells a whole stream by its own end marker.
 */
export async function* readEventStream<Schema extends z.ZodType>(
  body: AsyncIterable<Uint8Array>,
  schema: Schema,
): AsyncGenerator<z.infer<Schema>, void, undefined> {
  for await (const text of eventTexts(body)) {
    const parsed = schema.safeParse(parseJson(text));
    if (!parsed.success) {
      return;
    }
    yield parsed.data;
  }
}

async function* eventTexts(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string, void, undefined> {
  const texts: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => texts.push(data) });
  const decoder = new TextDecoder();
  const iterator = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const bytes = await nextOrEnd(iterator);
      if (bytes === undefined) {
        return;
      }
      parser.feed(decoder.decode(bytes, { stream: true }));
      yield* texts.splice(0);
    }
  } finally {
    await iterator.return?.().catch(() => undefined);
  }
}

async function nextOrEnd(iterator: AsyncIterator<Uint8Array>): Promise<Uint8Array | undefined> {
  try {
    const next = await iterator.next();
    return next.done === true ? undefined : next.value;
  } catch {
    return undefined;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
