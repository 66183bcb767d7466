/** Forwards the body of a response as it arrives, with backpressure from the caller. */
import type { ResponseBody } from '../backendApi';
import type { ResponseWriter } from '../callerApi';

export type ForwardOutcome = { kind: 'whole' } | { kind: 'lost'; detail: string };

/**
 * Takes and writes the parts of `start`, and then `rest`. Ends the caller's response if the body is complete, and aborts it
 * otherwise.
 */
export function forwardBody(
  writer: ResponseWriter,
  start: Buffer[],
  rest: ResponseBody,
): Promise<ForwardOutcome> {
  return new Promise((resolve) => {
    // What was kept waits for the caller now.
    rest.noteKept?.(0);
    // Callers wait with the array for the end of the body, which would hold its parts until then.
    const isTaken =
      start
        .splice(0)
        .map((part) => writer.write(part))
        .at(-1) ?? true;
    rest.read({
      onData: (chunk) => writeOrPause(writer, chunk, rest),
      onEnd() {
        writer.end();
        resolve({ kind: 'whole' });
      },
      onLost(detail) {
        writer.abort();
        resolve({ kind: 'lost', detail });
      },
    });
    if (!isTaken) {
      waitForCaller(writer, rest);
    }
  });
}

/** Writes the chunk and, if the caller reads too slowly, pauses the source until the writer has drained. */
export function writeOrPause(
  writer: ResponseWriter,
  chunk: Buffer,
  source: Pick<ResponseBody, 'pause' | 'resume'>,
): void {
  if (!writer.write(chunk)) {
    waitForCaller(writer, source);
  }
}

function waitForCaller(
  writer: ResponseWriter,
  source: Pick<ResponseBody, 'pause' | 'resume'>,
): void {
  source.pause();
  writer.onDrained(source.resume);
}
