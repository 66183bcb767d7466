/** One HTTP call of a backend server, and what can become of it. */
import type { AnswerBody } from './backendApi';

export interface HttpCall {
  /** `ip:port`. */
  address: string;
  method: string;
  path: string;
  /** Names and values by turns. */
  headers: readonly string[];
  body?: Buffer | string;
  /** From the call to the answer's head, the time to connect included. */
  headTimeoutMs: number;
  signal?: AbortSignal;
  /** Asked again at the moment of sending: the call may have waited for a connection. Absent: it may be sent. */
  maySend?: () => boolean;
  /** Open connections to the address at most. */
  maxConnections: number;
}

export interface HttpAnswer {
  status: number;
  /** Names and values by turns. */
  headers: readonly string[];
  body: AnswerBody;
  /** Gives the answer and its connection up. */
  discard(reason: string): void;
}

export type HttpOutcome =
  | { kind: 'answered'; answer: HttpAnswer }
  /** Nothing of the call went out. */
  | { kind: 'not-sent'; detail: string }
  /** Nothing of the call went out, for `maySend` forbade it by then. */
  | { kind: 'withheld' }
  /** The call went out, in part at least, and no answer can come any more. */
  | { kind: 'lost'; detail: string; isOurs: boolean };
