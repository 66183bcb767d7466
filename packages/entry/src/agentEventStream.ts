/** Reads an agent's event stream: one JSON `StreamFrame` an event, checked by schema. */
import { createParser } from 'eventsource-parser';
import type { Readable } from 'node:stream';
import { streamFrameSchema, type StreamFrame } from '@bluebellhitch/protocol';

/**
 * Yields the frames in order. Ends early where the connection breaks; the reader tells that from the
 * missing `end` frame. `onMalformed` is called for each event that is not a frame.
 */
export async function* readFrames(
  body: Readable,
  onMalformed: () => void,
): AsyncGenerator<StreamFrame> {
  const frames: StreamFrame[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      const frame = parseFrame(data);
      if (frame === undefined) {
        onMalformed();
      } else {
        frames.push(frame);
      }
    },
    onError: onMalformed,
  });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
      yield* frames.splice(0);
    }
  } catch {
    // A broken connection is an answer without its end, which the caller of this function handles.
  } finally {
    body.destroy();
  }
}

function parseFrame(data: string): StreamFrame | undefined {
  try {
    const parsed = streamFrameSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
