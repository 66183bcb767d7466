/** Callers that write requests to a connection of their own, in any order, and leave in any way. */
import { connect } from 'node:net';
import type { CallerDepartures } from '@bluebellhitch/platform-standins';
import { callersHost } from '../../src/configurationPlan';

/** How a caller ends its connection; `half-close` ends only its sending side. */
export const leaveKinds = ['close', 'reset', 'half-close'] as const;
export type LeaveKind = (typeof leaveKinds)[number];

export interface RawRequest {
  id: string;
  method?: string;
  /** Path and query. */
  target: string;
  deadlineMs: number;
  /** Present for requests of engines. */
  promptTokens?: number;
}

export interface RawCaller {
  /** Resolves once the connection is open. */
  connected: Promise<void>;
  /** Writes requests without waiting for the responses to earlier ones. */
  send(...requests: RawRequest[]): void;
  /** Resolves once this many complete plain responses with status 200 have arrived. */
  answered(count: number): Promise<void>;
  answerCount(): number;
  leave(how: LeaveKind): void;
}

const outputTokens = 100;

export function startRawCaller(
  address: string,
  departures: Pick<CallerDepartures, 'noteLeft'>,
): RawCaller {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  const sentIds: string[] = [];
  const waiting: { count: number; resolve: () => void }[] = [];
  let answers = 0;
  socket.on('error', () => undefined);
  socket.setEncoding('latin1');
  socket.on('data', (text: string) => {
    answers += text.split('HTTP/1.1 200').length - 1;
    waiting.filter(({ count }) => answers >= count).forEach(({ resolve }) => resolve());
  });
  return {
    connected: new Promise((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    }),
    send(...requests) {
      sentIds.push(...requests.map(({ id }) => id));
      socket.write(requests.map(encode).join(''));
    },
    answered: (count) =>
      answers >= count
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiting.push({ count, resolve });
          }),
    answerCount: () => answers,
    leave(how) {
      sentIds.forEach(departures.noteLeft);
      switch (how) {
        case 'close':
          socket.destroy();
          break;
        case 'reset':
          socket.resetAndDestroy();
          break;
        case 'half-close':
          socket.end();
      }
    },
  };
}

function encode({ id, method = 'GET', target, deadlineMs, promptTokens }: RawRequest): string {
  const prompt =
    promptTokens === undefined
      ? []
      : [`Bluebellhitch-Token-Count: ${promptTokens},${outputTokens}`];
  return [
    `${method} ${target} HTTP/1.1`,
    `Host: ${callersHost}`,
    `Bluebellhitch-Request-Id: ${id}`,
    `Bluebellhitch-Deadline-Ms: ${deadlineMs}`,
    ...prompt,
    'Content-Length: 0',
    '\r\n',
  ].join('\r\n');
}
