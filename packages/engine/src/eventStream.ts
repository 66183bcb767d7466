/** Reads an event stream (`text/event-stream`) in which each event carries one JSON value. */
import { createParser } from 'eventsource-parser';
import type { z } from 'zod';
import { createEventBlocks, type EventBlocksOptions } from '@bluebellhitch/ports';

/**
 * Yields the value of each event. Ends when the body ends, its connection breaks, a value does not
 * match the schema or an event is longer than the limit; callers recognise a complete stream by the protocol's end marker.
 */
export async function* readEventStream<Schema extends z.ZodType>(
  body: AsyncIterable<Uint8Array>,
  schema: Schema,
  options?: EventBlocksOptions,
): AsyncGenerator<z.infer<Schema>, void, undefined> {
  for await (const text of readEventData(body, options)) {
    const parsed = schema.safeParse(parseJson(text));
    if (!parsed.success) {
      return;
    }
    yield parsed.data;
  }
}

async function* readEventData(
  body: AsyncIterable<Uint8Array>,
  options?: EventBlocksOptions,
): AsyncGenerator<string, void, undefined> {
  const texts: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => texts.push(data) });
  const blocks = createEventBlocks(options);
  const iterator = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const bytes = await readNext(iterator);
      if (bytes === undefined) {
        return;
      }
      const block = blocks.add(bytes);
      if (block.kind === 'too-long') {
        return;
      }
      parser.feed(block.text);
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
