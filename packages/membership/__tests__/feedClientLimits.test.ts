import test from 'ava';
import { createFeedClient } from '@bluebellhitch/membership';
import { createInnerSecurity } from '@bluebellhitch/security';
import { startEndlessServer } from '@bluebellhitch/standins';

const key = { id: 'k1', secret: 'the-secret-that-the-whole-fleet-knows' };
const variants = {
  'with seals': { credentials: createInnerSecurity({ keys: [key], instanceId: 'agent-1' }) },
  'without seals': {},
};

Object.entries(variants).forEach(([name, options]) =>
  test(`a feed without an end is given up, and its connection closed: ${name}`, async (t) => {
    // What stands at the address of a stopped entry could fill the memory of all its followers.
    const server = await startEndlessServer({
      head: 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n',
      piece: `10000\r\n${'x'.repeat(65_536)}\r\n`,
      maxSentBytes: 134_217_728,
    });
    t.teardown(() => server.close());
    const callFeed = createFeedClient(options);
    const request = { services: [], waitMs: 0 } as never;
    const pending = callFeed(server.address, request, new AbortController().signal);
    const connection = await server.firstConnection;
    t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
    t.is((await pending)._unsafeUnwrapErr().kind, 'feed-unavailable');
  }),
);
