import test from 'ava';
import { createHttpPlatformClient, type HttpPlatformClient } from '@bluebellhitch/objects';
import { startEndlessServer } from '@bluebellhitch/standins';

const chunkedHead = 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n';
const pieces = {
  'large chunks': `1000\r\n${'x'.repeat(4096)}\r\n`,
  'chunks of one byte': '1\r\nx\r\n',
};
/** What the system buffers for a connection, and the framing of chunks, come on top of a limit. */
const slackBytes = 16_777_216;

const calls = {
  list: { call: (client: HttpPlatformClient) => client.list('document'), kind: 'unavailable' },
  watch: {
    call: (client: HttpPlatformClient) => client.watch('document', '0', 60_000),
    kind: 'unavailable',
  },
  create: {
    call: (client: HttpPlatformClient) => client.create('document', 'desk', {}),
    kind: 'unknown-outcome',
  },
} as const;

Object.entries(calls).forEach(([name, { call, kind }]) =>
  Object.entries(pieces).forEach(([form, piece]) =>
    test(`a body without an end is given up, and its connection closed: ${name}, ${form}`, async (t) => {
      // The process kept all of it until the call's time-out, and ran out of memory. A write may have taken effect.
      const server = await startEndlessServer({ head: chunkedHead, piece });
      const client = createHttpPlatformClient({
        address: server.address,
        timeoutMs: 60_000,
        maxBodyBytes: 100_000,
      });
      t.teardown(async () => {
        await client.close();
        server.close();
      });
      const pending = call(client);
      const connection = await server.firstConnection;
      t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
      t.true(connection.sentBytes < slackBytes);
      t.is((await pending)._unsafeUnwrapErr().kind, kind);
    }),
  ),
);
