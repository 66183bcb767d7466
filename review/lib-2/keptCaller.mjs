/** A caller that sends one request after the other on a connection that it keeps, with the HTTP agent of Node.js. */
import { Agent, request } from 'node:http';
import { host } from './deployment.mjs';

export function createKeptCaller({ address }) {
  const [ip, port] = address.split(':');
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** Resolves with `status` and `isWhole`, or with `error` if the connection ended before the head of an answer. */
  function call({ path, id, deadlineMs, method = 'POST', headers = {} }) {
    const sentAtMs = performance.now();
    return new Promise((resolve) => {
      const outgoing = request(
        {
          ...{ host: ip, port, agent, method, path },
          headers: {
            host,
            'bluebellhitch-request-id': id,
            'bluebellhitch-deadline-ms': String(deadlineMs),
            'content-length': '0',
            ...headers,
          },
        },
        (incoming) => {
          const chunks = [];
          incoming.on('data', (chunk) => chunks.push(chunk));
          incoming.on('error', () => undefined);
          incoming.on('close', () =>
            resolve({
              ...{ id, sentAtMs, endedAtMs: performance.now(), isReused: outgoing.reusedSocket },
              ...{ status: incoming.statusCode, isWhole: incoming.complete },
              ...{
                connection: incoming.headers.connection,
                body: Buffer.concat(chunks).toString(),
              },
            }),
          );
        },
      );
      outgoing.on('error', ({ code }) =>
        resolve({
          ...{ id, sentAtMs, endedAtMs: performance.now(), isReused: outgoing.reusedSocket },
          ...{ isWhole: false, error: code },
        }),
      );
      outgoing.end();
    });
  }

  return { call, close: () => agent.destroy() };
}
