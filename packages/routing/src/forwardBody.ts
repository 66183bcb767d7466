/** Forwards the body of a response as it arrives, with backpressure from the caller. */
import type { AnswerBody } from './backendApi';
import type { AnswerWriter } from './callerApi';

export type ForwardOutcome = { kind: 'whole' } | { kind: 'lost'; detail: string };

/** Writes `start` and then `rest`. Ends the caller's response if the body is complete, and aborts it otherwise. */
export function forwardBody(
  writer: AnswerWriter,
  start: Buffer,
  rest: AnswerBody,
): Promise<ForwardOutcome> {
  return new Promise((resolve) => {
    writer.write(start);
    rest.read({
      onData: (chunk) => writeOrPause(writer, chunk, rest),
      onEnd() {
        writer.end();
        resolve({ kind: 'whole' });
      },
      onLost(detail) {
        writer.cut();
        resolve({ kind: 'lost', detail });
      },
    });
  });
}

/** Writes the chunk and, if the caller reads too slowly, pauses the source until the writer has drained. */
export function writeOrPause(writer: AnswerWriter, chunk: Buffer, source: AnswerBody): void {
  if (!writer.write(chunk)) {
    source.pause();
    writer.onDrained(source.resume);
  }
}
