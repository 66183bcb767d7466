/**
 * Passes a response's body on in few parts. A server may send it in chunks of a byte, and each chunk that is passed on by
 * itself costs a write with its objects and a chunk of its own to the caller. Small chunks that arrive in one read are put
 * together; they are passed on as soon as that read is parsed.
 */
import { createBodyBuffer } from '@bluebellhitch/ports';
import type { BodyReader, ResponseBody } from '../backendApi';

/** Chunks of this size are passed on as they are. */
const minLargeBytes = 4_096;

export function createCompactBody(body: ResponseBody): ResponseBody {
  return { ...body, read: (reader) => body.read(createCompactReader(reader)) };
}

function createCompactReader(reader: BodyReader): BodyReader {
  let batch = createBodyBuffer();

  function flush(): void {
    if (batch.length() > 0) {
      const bytes = batch.take();
      batch = createBodyBuffer();
      reader.onData(bytes);
    }
  }

  return {
    onData(chunk) {
      if (batch.length() === 0 && chunk.length >= minLargeBytes) {
        reader.onData(chunk);
        return;
      }
      if (batch.length() === 0) {
        // Runs once the parser has returned.
        queueMicrotask(flush);
      }
      batch.append(chunk);
    },
    onEnd() {
      flush();
      reader.onEnd();
    },
    onLost(detail) {
      flush();
      reader.onLost(detail);
    },
  };
}
