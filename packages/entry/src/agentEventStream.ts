/** Reads an agent's event stream, in which each event is one `StreamFrame` as JSON. */
import { createParser } from 'eventsource-parser';
import type { Readable } from 'node:stream';
import { createEventBlocks } from '@bluebellhitch/ports';
import { streamFrameSchema, type StreamFrame } from '@bluebellhitch/protocol';

/**
 * Yields the frames in order. Ends early if the connection breaks or an event is too long, which the reader recognises by the
 * missing `end` frame. Calls `onMalformed` for each event that is not a valid frame.
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
  const blocks = createEventBlocks();
  try {
    for await (const chunk of body) {
      const block = blocks.add(chunk as Buffer);
      if (block.kind === 'too-long') {
        onMalformed();
        return;
      }
      parser.feed(block.text);
      yield* frames.splice(0);
    }
  } catch {
    // After a broken connection the `end` frame is missing, which the caller of this function handles.
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
