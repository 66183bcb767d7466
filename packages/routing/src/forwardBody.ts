/** Passes an answer's bytes on as they come, no faster than the caller reads them. */
import type { AnswerBody } from './backendApi';
import type { AnswerWriter } from './callerApi';

export type ForwardOutcome = { kind: 'whole' } | { kind: 'lost'; detail: string };

/** Ends the caller's answer: complete where the body was, cut where it was not. */
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

export function writeOrPause(writer: AnswerWriter, chunk: Buffer, source: AnswerBody): void {
  if (!writer.write(chunk)) {
    source.pause();
    writer.onDrained(source.resume);
  }
}
