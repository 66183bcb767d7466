import { EventEmitter, once } from 'node:events';
import { PassThrough } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import test from 'ava';
import { installProcessLifecycle, type StopKind } from '@bluebellhitch/telemetry';

function createFakeProcess(env: Record<string, string> = {}) {
  const emitter = new EventEmitter();
  const exitCodes: number[] = [];
  const stdin = new PassThrough();
  return {
    emitter,
    exitCodes,
    stdin,
    process: {
      env,
      stdin,
      on: (event: string, listener: (...values: unknown[]) => void) => emitter.on(event, listener),
      exit(code: number) {
        exitCodes.push(code);
      },
    },
  };
}

test('the first signal stops gracefully with exit code 0', async (t) => {
  const fake = createFakeProcess();
  const stops: StopKind[] = [];
  installProcessLifecycle({
    process: fake.process,
    onStop: async (kind) => {
      stops.push(kind);
    },
  });
  fake.emitter.emit('SIGTERM');
  await setImmediate();

  t.deepEqual(stops, ['graceful']);
  t.deepEqual(fake.exitCodes, [0]);
});

test('a second signal forces the stop while draining', async (t) => {
  // A graceful stop waits for a last stream that never ends. The second signal must end the process exactly once,
  // and the exit code must show that work was aborted.
  const fake = createFakeProcess();
  const stops: StopKind[] = [];
  const drained = new EventEmitter();
  installProcessLifecycle({
    process: fake.process,
    onStop: async (kind) => {
      stops.push(kind);
      if (kind === 'graceful') {
        await once(drained, 'drained');
      }
    },
  });
  fake.emitter.emit('SIGTERM');
  fake.emitter.emit('SIGTERM');
  fake.emitter.emit('SIGTERM');
  await setImmediate();
  drained.emit('drained');
  await setImmediate();

  t.deepEqual(stops, ['graceful', 'forced']);
  t.deepEqual(fake.exitCodes, [1]);
});

test('a signal that does not force the stop is ignored while draining', async (t) => {
  // A supervisor repeats SIGTERM: what the process still runs would be cut off. A person can end it all the same.
  const fake = createFakeProcess();
  const stops: StopKind[] = [];
  installProcessLifecycle({
    process: fake.process,
    forcingSignals: ['SIGINT'],
    onStop: async (kind) => {
      stops.push(kind);
      if (kind === 'graceful') {
        await once(new EventEmitter(), 'never');
      }
    },
  });
  fake.emitter.emit('SIGTERM');
  fake.emitter.emit('SIGTERM');
  await setImmediate();
  t.deepEqual(stops, ['graceful']);
  fake.emitter.emit('SIGINT');
  await setImmediate();
  t.deepEqual(stops, ['graceful', 'forced']);
  t.deepEqual(fake.exitCodes, [1]);
});

test('an unhandled error forces the stop with exit code 1', async (t) => {
  const fake = createFakeProcess();
  const stops: StopKind[] = [];
  installProcessLifecycle({
    process: fake.process,
    onStop: async (kind) => {
      stops.push(kind);
    },
  });
  fake.emitter.emit('uncaughtException', new Error('defect'));
  await setImmediate();

  t.deepEqual(stops, ['forced']);
  t.deepEqual(fake.exitCodes, [1]);
});

test('a stop that fails exits with code 1', async (t) => {
  const fake = createFakeProcess();
  installProcessLifecycle({
    process: fake.process,
    onStop: () => Promise.reject(new Error('socket')),
  });
  fake.emitter.emit('SIGTERM');
  await setImmediate();

  t.deepEqual(fake.exitCodes, [1]);
});

test('the end of the standard input stops the process if the setting is enabled', async (t) => {
  // A start script that is killed by SIGKILL cannot stop its children. The kernel closes its end of their pipes, and
  // each child must then exit on its own; otherwise a dozen orphaned processes would remain.
  const fake = createFakeProcess({ BLUEBELL_EXIT_ON_STDIN_END: 'true' });
  const stops: StopKind[] = [];
  installProcessLifecycle({
    process: fake.process,
    onStop: async (kind) => {
      stops.push(kind);
    },
  });
  fake.stdin.end();
  await once(fake.stdin, 'close');
  await setImmediate();

  t.deepEqual(stops, ['forced']);
  t.deepEqual(fake.exitCodes, [0]);
});

test('without the setting the end of the standard input is ignored', async (t) => {
  const fake = createFakeProcess();
  installProcessLifecycle({ process: fake.process, onStop: async () => undefined });
  fake.stdin.end();
  await setImmediate();

  t.deepEqual(fake.exitCodes, []);
});
