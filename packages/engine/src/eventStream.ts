/** Reads an event stream (`text/event-stream`) in which each event carries one JSON value. */
import { createParser } from 'eventsource-parser';
import type { z } from 'zod';

/**
 * Yields the value of each event. Ends when the body ends, its connection breaks or a value does not
 * match the schema; callers recognise a complete stream by the protocol's end marker.
 */
export async function* readEventStream<Schema extends z.ZodType>(
  body: AsyncIterable<Uint8Array>,
  schema: Schema,
): AsyncGenerator<z.infer<Schema>, void, undefined> {
  for await (const text of readEventData(body)) {
    const parsed = schema.safeParse(parseJson(text));
    if (!parsed.success) {
      return;
    }
    yield parsed.data;
  }
}

async function* readEventData(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string, void, undefined> {
  const texts: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => texts.push(data) });
  const decoder = new TextDecoder();
  const iterator = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const bytes = await readNext(iterator);
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

async function readNext(iterator: AsyncIterator<Uint8Array>): Promise<Uint8Array | undefined> {
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
