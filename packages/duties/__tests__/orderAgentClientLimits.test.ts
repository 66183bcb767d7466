import test from 'ava';
import { createOrderAgentClient } from '@bluebellhitch/duties';
import { startEndlessServer } from '@bluebellhitch/standins';

test('a reply without an end is given up, and its connection closed', async (t) => {
  // The process that orders engines kept the reply until the call's time-out, which is minutes for an order.
  const server = await startEndlessServer({
    head: 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n',
    piece: `10000\r\n${'x'.repeat(65_536)}\r\n`,
    maxSentBytes: 134_217_728,
  });
  t.teardown(() => server.close());
  const client = createOrderAgentClient({ readTimeoutMs: 60_000 });
  const pending = client.workerState(server.address);
  const connection = await server.firstConnection;
  t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
  t.is((await pending)._unsafeUnwrapErr().kind, 'no-answer');
});
