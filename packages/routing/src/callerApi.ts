/** The response to one caller's request. Exactly one of the calls marked as final is made for each request. */
import type { CallerRequest, Refusal } from './model';

export interface CompleteResponse {
  status: number;
  headers: readonly string[];
  body: Buffer;
}

export interface CallerExchange {
  readonly request: CallerRequest;
  /** Aborts if the caller disconnects before the response is complete. */
  readonly signal: AbortSignal;
  /** How long the process had been held up shortly before it read the request, which may have lain unread as long. */
  readonly heldUpMs?: number;
  /** Final: passes on a backend server's response unchanged. */
  respond(response: CompleteResponse): void;
  /** Final: sends a refusal of the router itself. */
  refuse(refusal: Refusal): void;
  /** Starts a response whose body is written in parts. */
  startResponse(status: number, headers: readonly string[]): ResponseWriter;
}

export interface ResponseWriter {
  /** Returns false if the caller reads more slowly than the router writes; see `onDrained`. */
  write(chunk: Buffer): boolean;
  onDrained(listener: () => void): void;
  /** Final: the response is complete. */
  end(): void;
  /** Final: destroys the connection, so that the response cannot be taken for complete. */
  abort(): void;
}
