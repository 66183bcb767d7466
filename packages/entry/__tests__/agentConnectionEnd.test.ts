/** Agents that close their connections behind a response that an entry reads slowly, as its caller does. */
import { createServer, type AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { createHttpAgentClient } from '../src/httpAgentClient';

const slowMs = 50;
const headTimeoutMs = 2_000;
/** More than a reader takes in before it is read. */
const body = 'x'.repeat(100_000);

test('a connection that an agent closes behind a response that is read slowly loses nothing of it', async (t) => {
  // The client's parser was paused when the connection ended, which was an unhandled error: it ended the entry.
  const server = createServer((socket) => {
    socket.once('data', () =>
      socket.end(
        `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const client = createHttpAgentClient();
  t.teardown(() => client.close());
  const { port } = server.address() as AddressInfo;
  const response = await client.plain(`http://127.0.0.1:${port}`, {
    ...{ method: 'GET', target: '/', headers: {}, headTimeoutMs },
    signal: new AbortController().signal,
  });
  await delay(slowMs);
  t.is(response.isOk() && (await text(response.value.body)), body);
});
