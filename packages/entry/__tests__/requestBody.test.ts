import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { readBody } from '../src/requestBody';

const options = { maxBytes: 100, timeoutMs: 400 };

async function withReading(
  check: (reading: {
    clock: Clock;
    sender: PassThrough;
    body: ReturnType<typeof readBody>;
  }) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
  try {
    const sender = new PassThrough();
    const incoming = Object.assign(sender, { headers: {} }) as unknown as IncomingMessage;
    await check({ clock, sender, body: readBody(incoming, options) });
  } finally {
    clock.uninstall();
  }
}

test.serial('a pause of the process is not taken for a slow sender', async (t) => {
  // Otherwise callers that sent in time would get 408: after the pause the time-out is due before the body is read that
  // has arrived meanwhile.
  await withReading(async ({ clock, sender, body }) => {
    clock.jump(500);
    sender.end('sent');
    t.is((await body)._unsafeUnwrap().toString(), 'sent');
  });
});

test.serial('a body that does not arrive in time is reported', async (t) => {
  await withReading(async ({ clock, sender, body }) => {
    sender.write('half');
    clock.tick(400);
    t.deepEqual((await body)._unsafeUnwrapErr(), { kind: 'timeout', timeoutMs: 400 });
  });
});
