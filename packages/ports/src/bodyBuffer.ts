/**
 * Collects a body in compact form. A part that arrives in a few bytes costs a hundred bytes and more as an object of its own,
 * so small parts are copied into segments, and what is held follows the number of bytes, not of parts.
 */

export interface BodyBuffer {
  append(part: Buffer): void;
  /** Number of bytes appended; at most a quarter more and a kilobyte is held. */
  length(): number;
  /** The whole body, which is not held here any more. */
  take(): Buffer;
  /** The same in parts, without a copy. */
  takeParts(): Buffer[];
  clear(): void;
}

const minSegmentBytes = 1_024;
const maxSegmentBytes = 65_536;
const segmentShare = 0.25;
/** Parts of this size are kept as they are: their own cost is small beside their content. */
const minKeptPartBytes = 16_384;

export function createBodyBuffer(): BodyBuffer {
  /** Full segments, and parts that were kept as they are. */
  let full: Buffer[] = [];
  let open: Buffer | undefined;
  let openLength = 0;
  let length = 0;

  function closeSegment(): void {
    if (open !== undefined) {
      full.push(open.subarray(0, openLength));
      open = undefined;
      openLength = 0;
    }
  }

  function openSegment(): Buffer {
    const size = Math.max(minSegmentBytes, Math.floor(length * segmentShare));
    // Slices of the runtime's shared pool would keep the whole pool in memory.
    return Buffer.allocUnsafeSlow(Math.min(maxSegmentBytes, size));
  }

  function copy(part: Buffer): void {
    open ??= openSegment();
    const copied = part.copy(open, openLength);
    openLength += copied;
    if (openLength === open.length) {
      closeSegment();
    }
    if (copied < part.length) {
      copy(part.subarray(copied));
    }
  }

  function clear(): void {
    full = [];
    open = undefined;
  }

  return {
    append(part) {
      length += part.length;
      if (part.length >= minKeptPartBytes) {
        closeSegment();
        full.push(part);
      } else if (part.length > 0) {
        copy(part);
      }
    },
    length: () => length,
    take() {
      closeSegment();
      const [first] = full;
      const body = full.length === 1 && first !== undefined ? first : Buffer.concat(full);
      clear();
      return body;
    },
    takeParts() {
      closeSegment();
      const parts = full;
      clear();
      return parts;
    },
    clear,
  };
}
