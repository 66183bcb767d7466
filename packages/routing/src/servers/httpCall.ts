/** Types of one HTTP call to a backend server and of its outcome. */
import type { Readable } from 'node:stream';
import type { ResponseBody } from '../backendApi';
import type { CallIdentity } from './callIdentity';

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
  /** A response that does not agree with it is discarded with its connection, and the call counts as lost. */
  identity: CallIdentity;
  /**
   * The call gets a connection that has carried nothing else and is closed after it, as a response of another call would
   * do harm. Always so if responses name no request.
   */
  needsOwnConnection?: boolean;
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

/** On which connection a response has come, and when. */
export interface ResponseOrigin {
  /** Number of the connection among all that this process has opened. */
  connection: number;
  /** How many calls the connection had carried before. */
  earlierCalls: number;
  /** The latest of them, oldest first: the id of the request, or method and path. */
  latestCalls: readonly string[];
  sinceSentMs: number;
}

/** A response that is not that of its call, with what its connection had carried. */
export interface ForeignResponseEvidence extends ResponseOrigin {
  address: string;
  status: number;
  /** Id of the caller's request; undefined for the router's own calls. */
  expectedId?: string;
  /** The id in the response; undefined if it has none. */
  echoedId?: string;
}

export interface HttpResponse {
  status: number;
  /** Alternating names and values. */
  headers: readonly string[];
  body: ResponseBody;
  origin: ResponseOrigin;
  /**
   * Closes the connection, as its responses may not be those of their calls. Anonymous calls to the address, which alone
   * cannot be checked, share no connection with requests from then on: a server may send such a response to each of them.
   */
  distrust(): void;
}

export type HttpOutcome =
  | { kind: 'answered'; response: HttpResponse }
  /** Nothing was sent; with `isRefused`, because no process accepts connections at the address. */
  | { kind: 'not-sent'; detail: string; isRefused?: boolean }
  /** Nothing was sent, because `maySend` returned false. */
  | { kind: 'withheld' }
  /** The call was sent, at least in part, and no response can arrive any more. */
  | { kind: 'lost'; detail: string; isOurs: boolean };

export function isOnOwnConnection({ identity, needsOwnConnection = false }: HttpCall): boolean {
  return needsOwnConnection || identity.kind === 'unmarked';
}
