/** What misbehaving clients send. Large parts are built once and shared by all clients. */
/** Returns the parts of an input by their numbers; undefined at the end. */
export type Parts = (part: number) => Buffer | undefined;

const partBytes = 65_536;

/** A text over and over, without an end. */
export function endless(text: string): Parts {
  const part = repeated(text);
  return () => part;
}

/** A head, and a chunked body of so many chunks of so many bytes each; the body's end is not sent. */
export function unendedChunks(head: string, chunkBytes: number, chunkCount: number): Parts {
  const chunk = encodeChunk(chunkBytes);
  const part = repeated(chunk);
  const chunksPerPart = part.length / chunk.length;
  const partCount = Math.ceil(chunkCount / chunksPerPart);
  const last = Buffer.from(chunk.repeat(chunkCount - (partCount - 1) * chunksPerPart));
  return (index) => {
    if (index === 0) {
      return Buffer.from(head);
    }
    if (index < partCount) {
      return part;
    }
    return index === partCount ? last : undefined;
  };
}

/** A head, and so many bytes in whole parts. */
export function headAndBytes(head: string, byteCount: number): Parts {
  const part = repeated('x');
  const partCount = Math.ceil(byteCount / part.length);
  const last = part.subarray(0, byteCount - (partCount - 1) * part.length);
  return (index) => {
    if (index === 0) {
      return Buffer.from(head);
    }
    if (index < partCount) {
      return part;
    }
    return index === partCount ? last : undefined;
  };
}

export function once(text: string): Parts {
  const part = Buffer.from(text);
  return (index) => (index === 0 ? part : undefined);
}

/** Several parts one after the other; all but the last must end. */
export function inOrder(first: Parts, ...rest: readonly Parts[]): Parts {
  const [second, ...others] = rest;
  if (second === undefined) {
    return first;
  }
  let firstCount: number | undefined;
  const next = inOrder(second, ...others);
  return (index) => {
    if (firstCount === undefined || index < firstCount) {
      const part = first(index);
      if (part !== undefined) {
        return part;
      }
      firstCount = index;
    }
    return next(index - firstCount);
  };
}

export function encodeChunk(byteCount: number): string {
  return `${byteCount.toString(16)}\r\n${'x'.repeat(byteCount)}\r\n`;
}

function repeated(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(partBytes / text.length)));
}
