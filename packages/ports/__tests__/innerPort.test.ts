import { createServer, request, type IncomingMessage } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { guardInnerPort, readInnerBody } from '../src/innerPort';
import { createPortResources } from '../src/portResources';
import { createBodyReaderPool } from '../src/requestBody';

test('the bodies of calls that wait behind another one are given back when their connection ends', async (t) => {
  // The runtime reports no end of a response that waits behind another one: the body stayed counted for as long as the
  // process ran, until all calls were refused for want of memory.
  const bodies = createBodyReaderPool(createPortResources().memory);
  const kinds: string[] = [];
  const server = createServer((incoming, outgoing) => {
    void readInnerBody({ incoming, outgoing }, bodies).then(({ kind }) => kinds.push(kind));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
  const call = `POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n${'x'.repeat(1_000)}`;
  socket.write(call.repeat(3));
  const endsAtMs = performance.now() + 5_000;
  while (kinds.length < 3 && performance.now() < endsAtMs) {
    await delay(5);
  }
  t.is(bodies.heldBytes(), 3_000);
  socket.destroy();
  while (bodies.heldBytes() > 0 && performance.now() < endsAtMs) {
    await delay(5);
  }
  t.is(bodies.heldBytes(), 0);
});

test('a call that is passed on while its body arrives is not answered by the time limit of the runtime', async (t) => {
  // The runtime answered 408, the promise that the call has not run, once a body had taken 300 s.
  const server = createServer(
    { requestTimeout: 100, headersTimeout: 100, connectionsCheckingInterval: 20 },
    (incoming, outgoing) => {
      incoming.on('end', () => outgoing.end('ran'));
      incoming.resume();
    },
  );
  guardInnerPort(server, createPortResources());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const call = request({ host: '127.0.0.1', port, method: 'POST' });
  const response = new Promise<IncomingMessage | Error>((resolve) => {
    call.once('response', resolve);
    call.on('error', resolve);
  });
  call.write('first');
  await delay(500);
  call.end('last');
  t.like(await response, { statusCode: 200 });
});
