import test, { type ExecutionContext } from 'ava';
import type { StreamRequest } from '@bluebellhitch/protocol';
import { startEndlessServer, type EndlessServerOptions } from '@bluebellhitch/standins';
import { createHttpAgentClient } from '../src/httpAgentClient';

const chunkedHead = 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n';
const largeChunk = `1000\r\n${'x'.repeat(4096)}\r\n`;
/** What the system buffers for a connection comes on top of a limit. */
const slackBytes = 16_777_216;
const streamRequest: StreamRequest = {
  entryId: 'entry-1',
  attemptId: 'attempt-1',
  model: 'bond-drafter',
  prompt: 'hello',
  source: { kind: 'local' },
  maxOutputTokens: 10,
  emitted: { tokenCount: 0, text: '' },
  priority: 5,
};
/** The limits have to end the calls. */
const options = { timeoutMs: 60_000 };

async function start(t: ExecutionContext, serverOptions: EndlessServerOptions) {
  const server = await startEndlessServer(serverOptions);
  const client = createHttpAgentClient();
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  return { server, client };
}

test('a stream of an agent with an event without an end is ended, and its connection closed', async (t) => {
  // The entry kept the event until it ran out of memory, with the requests of all its callers.
  const { client, server } = await start(t, { head: chunkedHead, piece: largeChunk });
  const stream = (await client.openStream(server.address, streamRequest, options))._unsafeUnwrap();
  const reading = stream[Symbol.asyncIterator]().next();
  const connection = await server.firstConnection;
  t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
  t.true(connection.sentBytes < slackBytes);
  t.true((await reading).done);
});

const bidRequest = {
  ...{ service: 'draft-models', promptTokens: 1, maxOutputTokens: 1, prefixBlocks: [] },
  className: 'standard',
};

test('a reply without an end is given up, and its connection closed', async (t) => {
  // A worker of another kind may stand at an agent's address; the entry kept the reply until the call's time-out.
  const pieces = [largeChunk, '1\r\nx\r\n'];
  await Promise.all(
    pieces.map(async (piece) => {
      const { client, server } = await start(t, { head: chunkedHead, piece });
      const pending = client.bid(server.address, bidRequest, options);
      const connection = await server.firstConnection;
      t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
      t.is((await pending)._unsafeUnwrapErr().kind, 'lost');
    }),
  );
});
