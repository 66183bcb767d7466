/**
 * Finds a second status line inside the first line of a response. A superfluous response that breaks off there is joined with the head
 * of the next one, whose status line becomes a part of its reason phrase: the status is that of the first response, all else
 * that of the second. The HTTP client's parser cannot show it, as it keeps only the last part of a phrase that arrives in
 * several reads.
 */

export interface StatusLineScan {
  /** The next bytes are those of a response's head. */
  restart(): void;
  /** Takes the next bytes of the connection, in order; what follows the head is skipped. */
  push(input: Buffer): void;
  /** Whether a status line of the current head, or of an interim one before it, holds another one. */
  hasJoinedLines(): boolean;
}

type Position = 'status-line' | 'headers' | 'behind-head';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const protocolMark = 'HTTP/';
const interimStart = /^HTTP\/\d\.\d 1/;
/** Length that shows whether the response is an interim one. */
const startLength = 'HTTP/1.1 1'.length;

export function createStatusLineScan(): StatusLineScan {
  let position: Position = 'status-line';
  let isJoined = false;
  /** Whether the current line has a character. */
  let hasText = false;
  /** The first characters of the status line. */
  let start = '';
  let markCount = 0;
  /** End of the status line so far, which may hold the start of a mark. */
  let overlap = '';

  function beginHead(): void {
    position = 'status-line';
    hasText = false;
    start = '';
    markCount = 0;
    overlap = '';
  }

  function takeText(text: Buffer): void {
    hasText ||= text.some((byte) => byte !== carriageReturn);
    if (position === 'status-line') {
      takeStatusText(text.toString('latin1'));
    }
  }

  function takeStatusText(text: string): void {
    start += text.slice(0, startLength - start.length);
    const joined = overlap + text;
    markCount += joined.split(protocolMark).length - 1;
    overlap = joined.slice(1 - protocolMark.length);
    isJoined ||= markCount > 1;
  }

  function endLine(): void {
    if (position === 'status-line') {
      // Parsers skip empty lines before a response.
      position = hasText ? 'headers' : position;
    } else if (!hasText && interimStart.test(start)) {
      beginHead();
    } else if (!hasText) {
      position = 'behind-head';
    }
    hasText = false;
  }

  return {
    restart() {
      beginHead();
      isJoined = false;
    },
    push(input) {
      let offset = 0;
      while (position !== 'behind-head' && offset < input.length) {
        const lineEnd = input.indexOf(lineFeed, offset);
        takeText(input.subarray(offset, lineEnd < 0 ? input.length : lineEnd));
        if (lineEnd < 0) {
          return;
        }
        endLine();
        offset = lineEnd + 1;
      }
    },
    hasJoinedLines: () => isJoined,
  };
}
