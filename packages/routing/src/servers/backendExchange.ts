/** One call on one connection to a backend server, from its sending to the end of the response. */
import type { Client, Dispatcher } from 'undici';
import type { ConnectionInput } from '@bluebellhitch/ports';
import { monotonicNowMs, startPauseTolerantTimer } from '@bluebellhitch/shared';
import type { ResponseBody, BodyReader } from '../backendApi';
import { expectedIdOf, findForeignResponse, type ForeignResponse } from './callIdentity';
import type { CarriedIds } from './carriedIds';
import {
  isOnOwnConnection,
  type ForeignResponseEvidence,
  type HttpCall,
  type HttpOutcome,
  type ResponseOrigin,
} from './httpCall';
import type { ConnectionEnd } from './connectionEnd';
import { hasJoinedHeaders } from './joinedHeads';
import { isFinal, isInterim, resolveFraming } from './responseHead';

/** The part of a connection that a call uses. */
export interface ExchangeConnection {
  client: Client;
  /** Among all connections of this process. */
  number: number;
  callCount: number;
  /** See `ResponseOrigin`. */
  latestCalls: readonly string[];
  /** Whether the end of the connection marks the end of the current response. */
  isCloseDelimited: boolean;
  /**
   * It has carried the rejection of an anonymous call. A server may repeat that late, and the next request on the
   * connection would be lost to it.
   */
  isOnlyForAnonymous: boolean;
  /** None of them must be sent on the connection again. */
  carriedIds: CarriedIds;
  /** It is closed after the response in progress: what follows on it may belong to an earlier call. */
  isSpent: boolean;
  input: ConnectionInput;
  /** How the connection ended; only set if it was reset or the response is close-delimited. */
  end?: Promise<ConnectionEnd>;
}

export interface ExchangeEvents {
  onReusable(): void;
  /** The response is not read to its end. */
  onAbandoned(): void;
  onForeign(evidence: ForeignResponseEvidence): void;
  onBroken(): void;
  /** See `HttpResponse`. */
  onDistrusted(): void;
}

const minErrorStatus = 400;
/** The address is used by another server now (RFC 9110, 15.5.20). */
const misdirectedStatus = 421;
const maxLatestCalls = 4;
/** Ids and paths may be as long as a head. */
const maxLoggedLength = 64;

type BodyEnd = { kind: 'whole' } | { kind: 'lost'; detail: string };

/**
 * Creates the exchange without sending anything; `start` must be called once. `resolve` gets the outcome as soon as the
 * head of the response has arrived or the call has failed.
 */
export function createExchange(
  connection: ExchangeConnection,
  call: HttpCall,
  resolve: (outcome: HttpOutcome) => void,
  events: ExchangeEvents,
) {
  let wasSent = false;
  let sentAtMs = 0;
  let receivedAtStart = 0;
  let isOurs = false;
  let reader: BodyReader | undefined;
  let bodyEnd: BodyEnd | undefined;
  /** Parts of the body that were parsed together with the head. */
  const unreadParts: Buffer[] = [];
  let isFramed = true;
  const { callCount: earlierCalls, latestCalls, input } = connection;
  const expectedId = expectedIdOf(call.identity);
  const headTimer = startPauseTolerantTimer(call.headTimeoutMs, () => cancel('no answer in time'));
  const onAbort = () => cancel('given up');

  function noteOnConnection(): void {
    const name = expectedId ?? `${call.method} ${call.path}`;
    connection.callCount += 1;
    if (expectedId !== undefined) {
      connection.carriedIds.add(expectedId);
    }
    connection.isSpent ||= isOnOwnConnection(call) || connection.carriedIds.isFull();
    connection.latestCalls = [...latestCalls, name.slice(0, maxLoggedLength)].slice(
      -maxLatestCalls,
    );
  }

  function originNow(): ResponseOrigin {
    return {
      ...{ connection: connection.number, earlierCalls, latestCalls },
      sinceSentMs: monotonicNowMs() - sentAtMs,
    };
  }

  function discard(detail: string): void {
    events.onAbandoned();
    endWithoutResponse({ kind: 'lost', detail, isOurs }, detail);
  }

  function discardForeign(status: number, { echoedId }: ForeignResponse): void {
    events.onForeign({
      ...{ address: call.address, status },
      expectedId: expectedId?.slice(0, maxLoggedLength),
      echoedId: echoedId?.slice(0, maxLoggedLength),
      ...originNow(),
    });
    discard(echoedId === undefined ? 'response without the id' : 'response with another id');
  }

  function noteRejection(status: number): void {
    connection.isOnlyForAnonymous ||= call.identity.kind === 'anonymous';
    connection.isSpent ||= status === misdirectedStatus;
  }

  function abandon(reason: string): void {
    if (bodyEnd === undefined) {
      events.onAbandoned();
      cancel(reason);
    }
  }

  function cancel(reason: string): void {
    if (bodyEnd !== undefined) {
      return;
    }
    isOurs = true;
    endWithoutResponse(
      wasSent ? { kind: 'lost', detail: reason, isOurs } : { kind: 'not-sent', detail: reason },
      reason,
    );
  }

  function endWithoutResponse(outcome: HttpOutcome, detail: string): void {
    stopHeadTimer();
    resolve(outcome);
    events.onBroken();
    endBody({ kind: 'lost', detail });
  }

  function stopHeadTimer(): void {
    headTimer.stop();
  }

  function endBody(end: BodyEnd): void {
    if (bodyEnd !== undefined) {
      return;
    }
    bodyEnd = end;
    input.onFlooded(undefined);
    call.signal?.removeEventListener('abort', onAbort);
    deliverEnd();
  }

  function deliverEnd(): void {
    if (reader === undefined || bodyEnd === undefined) {
      return;
    }
    if (bodyEnd.kind === 'whole') {
      reader.onEnd();
    } else {
      reader.onLost(bodyEnd.detail);
    }
  }

  async function endBodyWithConnection(): Promise<void> {
    if ((await connection.end) !== 'closed') {
      endBody({ kind: 'lost', detail: 'reset before its end' });
      return;
    }
    const hasServerEnded = await call.hasServerEnded?.();
    endBody(hasServerEnded ? { kind: 'lost', detail: 'ended with its server' } : { kind: 'whole' });
  }

  /** After the end of the response the input is that of the next call. */
  function resumeInput(): void {
    if (bodyEnd === undefined) {
      input.resume();
    }
  }

  const body: ResponseBody = {
    read(nextReader) {
      reader = nextReader;
      unreadParts.splice(0).forEach(nextReader.onData);
      deliverEnd();
      resumeInput();
    },
    pause() {
      if (bodyEnd === undefined) {
        input.pause();
      }
    },
    resume: resumeInput,
    abandon,
    receivedBytes: () => input.receivedBytes() - receivedAtStart,
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart() {
      if (call.maySend?.() === false) {
        endWithoutResponse({ kind: 'withheld' }, 'withheld');
        return;
      }
      wasSent = true;
      sentAtMs = monotonicNowMs();
      noteOnConnection();
    },
    onResponseStart(controller, status) {
      if (isInterim(status)) {
        return;
      }
      stopHeadTimer();
      input.noteProgress();
      input.pause();
      if (!isFinal(status)) {
        discard(`invalid status ${status}`);
        return;
      }
      const headers = readHeaders(controller.rawHeaders);
      const foreign = findForeignResponse(call.identity, headers);
      if (foreign !== undefined) {
        discardForeign(status, foreign);
        return;
      }
      if (input.hasJoinedHeads() || hasJoinedHeaders(call.identity, headers)) {
        discard('two heads in one');
        return;
      }
      const framing = resolveFraming(call.method, status, headers);
      if (framing === 'unknown') {
        endWithoutResponse(
          { kind: 'lost', detail: 'unknown transfer coding', isOurs },
          'unknown transfer coding',
        );
        return;
      }
      isFramed = framing === 'own';
      connection.isCloseDelimited = !isFramed;
      if (status >= minErrorStatus) {
        noteRejection(status);
      }
      body.isUnframed = !isFramed;
      resolve({
        kind: 'answered',
        response: { status, headers, body, origin: originNow(), distrust: events.onDistrusted },
      });
    },
    onResponseData(_controller, chunk) {
      input.noteProgress();
      if (reader === undefined) {
        unreadParts.push(chunk);
      } else {
        reader.onData(chunk);
      }
    },
    onResponseEnd() {
      input.noteProgress();
      // The connection may carry the next call. One whose call is lost is closed, and not read on.
      input.resume();
      if (isFramed) {
        events.onReusable();
        endBody({ kind: 'whole' });
      } else {
        void endBodyWithConnection();
      }
    },
    onResponseError(_controller, error: NodeJS.ErrnoException) {
      const { message: detail, code } = error;
      const isRefused = code === 'ECONNREFUSED';
      endWithoutResponse(
        wasSent ? { kind: 'lost', detail, isOurs } : { kind: 'not-sent', detail, isRefused },
        detail,
      );
    },
  };

  function start(): void {
    if (call.signal?.aborted) {
      cancel('given up');
      return;
    }
    call.signal?.addEventListener('abort', onAbort);
    input.noteProgress();
    input.expectHead();
    receivedAtStart = input.receivedBytes();
    input.onFlooded(abandon);
    connection.client.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: call.headers as string[],
        body: call.body,
        // Asks the server to close the connection. `false` would switch off what the client closes by itself.
        reset: isOnOwnConnection(call) ? true : undefined,
      },
      handler,
    );
  }

  return { start };
}

function readHeaders(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  return Array.isArray(raw) ? raw.map((part) => part.toString('latin1')) : [];
}
