/** Types of one HTTP call to a backend server and of its outcome. */
import type { Readable } from 'node:stream';
import type { ResponseBody } from '../backendApi';

export interface HttpCall {
  /** `ip:port`. */
  address: string;
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: readonly string[];
  /** A stream can be sent once only. */
  body?: Buffer | string | Readable;
  /** Maximum time from the call to the head of the response, including the time to connect. */
  headTimeoutMs: number;
  signal?: AbortSignal;
  /**
   * Responses to the call name no request. A server may repeat a response late, and the repetition of such a rejection
   * would be taken for that of the next request on the connection; after one, the connection serves only calls of this kind.
   */
  isAnonymous?: boolean;
  /** Names the call in the origin of later responses on its connection. Default: method and path. */
  label?: string;
  /**
   * Whether the call may still be sent; it always may if absent. Checked before a connection is chosen and again just
   * before sending, because the call may have waited for a connection.
   */
  maySend?: () => boolean;
  /**
   * Whether the server has ended. Asked when a response without a length ends with its connection: a process that ends
   * closes its connections too, and the response may be incomplete.
   */
  hasServerEnded?: () => Promise<boolean>;
  /** Maximum number of open connections to the address. */
  maxConnections: number;
}

/** Shows afterwards whether a response belonged to its call. */
export interface ResponseOrigin {
  /** Number of the connection among all that this process has opened. */
  connection: number;
  /** How many calls the connection had carried before. */
  earlierCalls: number;
  /** The labels of the latest of them, oldest first. */
  earlierLabels: readonly string[];
  sinceSentMs: number;
}

export interface HttpResponse {
  status: number;
  /** Alternating names and values. */
  headers: readonly string[];
  body: ResponseBody;
  origin: ResponseOrigin;
}

export type HttpOutcome =
  | { kind: 'answered'; response: HttpResponse }
  /** Nothing was sent; with `isRefused`, because no process accepts connections at the address. */
  | { kind: 'not-sent'; detail: string; isRefused?: boolean }
  /** Nothing was sent, because `maySend` returned false. */
  | { kind: 'withheld' }
  /** The call was sent, at least in part, and no response can arrive any more. */
  | { kind: 'lost'; detail: string; isOurs: boolean };
