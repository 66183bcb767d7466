import test from 'ava';
import { createLogger, type LogLine } from '@bluebellhitch/telemetry';

test('each message is one JSON line with the binary and instance id', (t) => {
  const lines: string[] = [];
  const logger = createLogger({
    binary: 'bluebell-entry',
    instanceId: 'entry-1',
    write: (line) => lines.push(line),
  });
  logger.info('100% ready at %s\n', { port: 8080 });

  t.is(lines.length, 1);
  const { time, ...rest } = JSON.parse(lines[0] ?? '') as LogLine;
  t.false(Number.isNaN(Date.parse(time)));
  t.deepEqual(rest, {
    binary: 'bluebell-entry',
    instanceId: 'entry-1',
    level: 'info',
    message: '100% ready at %s\n',
    context: { port: 8080 },
  });
});

test('messages below the level are not logged, and errors are logged with their stack', (t) => {
  const lines: string[] = [];
  const logger = createLogger({
    binary: 'bluebell-agent',
    instanceId: 'agent-1',
    level: 'warn',
    write: (line) => lines.push(line),
  });
  logger.debug('unseen');
  logger.info('unseen');
  logger.warn('seen');
  logger.error('seen', { error: new Error('broken link') });

  t.is(lines.length, 2);
  t.regex(lines[1] ?? '', /broken link/);
});

test('two loggers in one process each use their own writer', (t) => {
  const first: string[] = [];
  const second: string[] = [];
  const options = { binary: 'bluebell-entry', instanceId: 'entry-1' };
  const firstLogger = createLogger({ ...options, write: (line) => first.push(line) });
  const secondLogger = createLogger({ ...options, write: (line) => second.push(line) });
  firstLogger.info('one');
  secondLogger.info('two');
  firstLogger.info('three');

  t.is(first.length, 2);
  t.is(second.length, 1);
});
