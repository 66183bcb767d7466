import test from 'ava';
import { createProcessIo } from '@bluebellhitch/ctl';
import { startEndlessServer } from '@bluebellhitch/standins';

const chunkedHead = 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n';
const pieces = {
  'large chunks': `1000\r\n${'x'.repeat(4096)}\r\n`,
  'chunks of one byte': '1\r\nx\r\n',
};

Object.entries(pieces).forEach(([name, piece]) =>
  test(`an answer of an admin port without an end is given up, and its connection closed: ${name}`, async (t) => {
    // It is reported as silent; before, the verb kept all that came within its time-out, from 32 processes at once.
    const server = await startEndlessServer({ head: chunkedHead, piece });
    t.teardown(() => server.close());
    const pending = createProcessIo({ adminTimeoutMs: 60_000 }).readAdmin(server.address, '/');
    const connection = await server.firstConnection;
    t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
    t.is((await pending)._unsafeUnwrapErr().kind, 'unreachable');
  }),
);
