/**
 * A port for the calls between the system's own processes. What arrives before the credentials are checked is bounded like
 * what any caller sends, and bodies of calls are read whole, within limits, before they are parsed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { assertNever } from '@bluebellhitch/shared';
import { guardPort } from './portGuard';
import type { PortResources } from './portResources';
import type { BodyReaderPool, RequestBodyOutcome } from './requestBody';
import { endAfterUnreadBody, type UnreadRequest } from './unreadBody';

/** Enough for a prompt of tens of thousands of tokens with the text emitted so far. */
const maxBodyBytes = 16 * 1_048_576;
/** Time for the body of a call between processes of one system. */
const bodyTimeoutMs = 10_000;
/** Several for each of the entries and agents of a large system. */
const maxConnections = 4_096;
const maxRequestsPerConnection = 4;
const bodylessMethods: readonly string[] = ['GET', 'HEAD'];
/** Idle connections of other processes are kept for longer than this between two calls. */
const minQuietMs = 10_000;

/** A call between processes of the system. */
export interface InnerCall extends UnreadRequest {
  /** Makes the response announce that its connection closes: no further call is taken from it. Default: nothing. */
  announceClose?: () => void;
}

/** To be called once, before the server listens. */
export function guardInnerPort(server: Server, resources: PortResources): void {
  // The runtime would answer 408 to a call that is passed on while its body arrives. Bodies that are read whole have their own limit.
  Object.assign(server, { requestTimeout: 0 });
  guardPort(server, { resources, maxConnections, maxRequestsPerConnection, minQuietMs });
}

/** Reads the body of a call; it counts as held until the response is over. */
export function readInnerBody(
  { incoming, outgoing }: InnerCall,
  bodies: BodyReaderPool,
): Promise<RequestBodyOutcome> {
  const { done, release } = bodies.read(incoming, { maxBodyBytes, timeoutMs: bodyTimeoutMs });
  onceOver(incoming, outgoing, release);
  return done;
}

/** The runtime reports no end of a response that waits behind another one, but that of its connection. */
function onceOver(
  { socket }: IncomingMessage,
  outgoing: ServerResponse,
  listener: () => void,
): void {
  const finish = () => {
    socket.off('close', finish);
    outgoing.off('close', finish);
    listener();
  };
  socket.once('close', finish);
  outgoing.once('close', finish);
}

/**
 * The call as a request whose signal aborts when the sender's connection closes; undefined if its body could not be read,
 * and it was refused.
 */
export async function readInnerCall(
  call: InnerCall,
  bodies: BodyReaderPool,
): Promise<Request | undefined> {
  const { incoming, outgoing } = call;
  const read = await readInnerBody(call, bodies);
  if (read.kind !== 'whole') {
    refuseInnerBody(call, read.kind);
    return undefined;
  }
  const connection = new AbortController();
  onceOver(incoming, outgoing, () => {
    if (!outgoing.writableFinished) {
      connection.abort();
    }
  });
  const { method = 'GET', url = '/' } = incoming;
  return new Request(`http://inner${url}`, {
    method,
    headers: headerPairs(incoming),
    body: bodylessMethods.includes(method) ? undefined : read.body,
    signal: connection.signal,
  });
}

function headerPairs({ headersDistinct }: IncomingMessage): [string, string][] {
  return Object.entries(headersDistinct).flatMap(([name, values = []]) =>
    values.map((value): [string, string] => [name, value]),
  );
}

/** Refuses a call whose body could not be read; it has not run. */
export function refuseInnerBody(
  call: InnerCall,
  kind: Exclude<RequestBodyOutcome['kind'], 'whole'>,
): void {
  const { outgoing, announceClose = () => undefined } = call;
  if (kind === 'caller-left') {
    outgoing.destroy();
    return;
  }
  const body = JSON.stringify({ title: `body refused: ${kind}` });
  announceClose();
  outgoing.writeHead(innerBodyStatus(kind), {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    connection: 'close',
  });
  outgoing.write(body);
  endAfterUnreadBody(call, maxBodyBytes);
}

function innerBodyStatus(
  kind: Exclude<RequestBodyOutcome['kind'], 'whole' | 'caller-left'>,
): number {
  switch (kind) {
    case 'too-large':
      return 413;
    case 'overdue':
      return 408;
    case 'no-memory':
      return 503;
    default:
      return assertNever(kind);
  }
}
