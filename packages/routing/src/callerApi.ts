/** What the router tells the caller of one request. Exactly one final call is made for each request. */
import type { CallerRequest, Refusal } from './model';

export interface WholeAnswer {
  status: number;
  headers: readonly string[];
  body: Buffer;
}

export interface CallerExchange {
  readonly request: CallerRequest;
  /** Aborts when the caller has left before its answer was complete. */
  readonly signal: AbortSignal;
  /** Final: a backend server's answer, byte for byte. */
  answer(answer: WholeAnswer): void;
  /** Final: the router's own word. */
  refuse(refusal: Refusal): void;
  /** Begins an answer whose body follows in parts. */
  begin(status: number, headers: readonly string[]): AnswerWriter;
}

export interface AnswerWriter {
  /** False while the caller reads more slowly than we write; see `onDrained`. */
  write(chunk: Buffer): boolean;
  onDrained(listener: () => void): void;
  /** Final: the answer is whole. */
  end(): void;
  /** Final: cuts the connection, so that the answer cannot look complete. */
  cut(): void;
}
