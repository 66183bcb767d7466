/** A worker whose answers have no end: each call gets a head, and then parts for as long as bytes are taken. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import type { Parts } from '@bluebellhitch/standins';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';

export interface FaultyWorkerOptions {
  /** What a call gets. */
  answerOf: () => Parts;
  /** Calls to these paths get this value as JSON. */
  regular?: Record<string, unknown>;
}

export interface FaultyWorker {
  /** `ip:port`. */
  address: string;
  /** Calls that got an answer without an end. */
  callCount(): number;
  /**
   * Resolves once nothing has been taken from the worker for a while; or after a while in which bytes are still taken.
   */
  settled(): Promise<void>;
}

const quietMs = 1_000;
const maxSettleMs = 5_000;
const pollMs = 50;
const headEnd = '\r\n\r\n';
const okStatus = 200;

export interface FaultyHeadOptions {
  contentType: string;
  /** Default: 200. */
  status?: number;
  /** Whether the body comes in chunks; else it has no length. Default: yes. */
  isChunked?: boolean;
  /** Whether the server states that it has not run the request. Default: no. */
  isRejection?: boolean;
}

/** The head of an answer with the seal that lets it be passed on. `ID` becomes that of the request. */
export function faultyHead(options: FaultyHeadOptions): string {
  const { contentType, status = okStatus, isChunked = true, isRejection = false } = options;
  return [
    `HTTP/1.1 ${status} S`,
    'Bluebellhitch-Request-Id: ID',
    'Bluebellhitch-Server-Seal: s',
    ...(isRejection ? ['Bluebellhitch-Not-Executed: 1'] : []),
    `Content-Type: ${contentType}`,
    ...(isChunked ? ['Transfer-Encoding: chunked'] : []),
    '\r\n',
  ].join('\r\n');
}

export async function startFaultyWorker(
  t: ExecutionContext,
  { answerOf, regular = {} }: FaultyWorkerOptions,
): Promise<FaultyWorker> {
  const sockets = new Set<Socket>();
  let callCount = 0;
  let takenAtMs = monotonicNowMs();

  function write(socket: Socket, partAt: Parts, id: string, index = 0): void {
    const part = partAt(index);
    if (part === undefined || socket.destroyed) {
      return;
    }
    const bytes = index === 0 ? part.toString('latin1').replace('ID', id) : part;
    // Called once the kernel has taken the part.
    socket.write(bytes, (error) => {
      if (!error) {
        takenAtMs = monotonicNowMs();
        write(socket, partAt, id, index + 1);
      }
    });
  }

  function take(socket: Socket, head: string): void {
    const path = head.split(' ')[1] ?? '';
    if (path in regular) {
      socket.write(jsonAnswer(regular[path]));
      return;
    }
    callCount += 1;
    const id = /^bluebellhitch-request-id: (.*)$/im.exec(head)?.[1] ?? '';
    write(socket, answerOf(), id.trim());
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    let text = '';
    socket.on('error', () => socket.destroy());
    socket.once('close', () => sockets.delete(socket));
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (text.includes(headEnd)) {
        const head = text;
        text = '';
        take(socket, head);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    callCount: () => callCount,
    async settled() {
      const endsAtMs = monotonicNowMs() + maxSettleMs;
      takenAtMs = monotonicNowMs();
      while (monotonicNowMs() - takenAtMs < quietMs && monotonicNowMs() < endsAtMs) {
        await delay(pollMs);
      }
    },
  };
}

function jsonAnswer(value: unknown): string {
  const body = JSON.stringify(value);
  return `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}
