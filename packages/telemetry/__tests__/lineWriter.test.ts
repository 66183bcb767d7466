import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { createLineWriter } from '@bluebellhitch/telemetry';

test('lines are written in order', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'lines-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const path = join(folder, 'log');
  const fd = openSync(path, 'w');
  const writer = createLineWriter({ fd });
  ['a', 'b', 'c'].forEach(writer.write);
  await writer.flush(1_000);
  closeSync(fd);
  t.is(readFileSync(path, 'utf8'), 'a\nb\nc\n');
  t.is(writer.droppedCount(), 0);
});

test('a reader that pauses neither blocks the process nor fills its memory', async (t) => {
  // Blocking writes would make every request of the process wait for the reader of its log. With a full pipe that
  // nobody reads, the event loop must continue, and lines that do not fit must be dropped and counted.
  const program = `
    const { createLineWriter } = await import('@bluebellhitch/telemetry');
    const writer = createLineWriter({ maxBufferedBytes: 65536 });
    const line = 'x'.repeat(1000);
    const start = process.cpuUsage();
    let turns = 0;
    const timer = setInterval(() => {
      for (let n = 0; n < 100; n += 1) writer.write(line);
      turns += 1;
      if (turns === 20) {
        clearInterval(timer);
        const { user, system } = process.cpuUsage(start);
        const busyMs = (user + system) / 1000;
        process.stderr.write(JSON.stringify({ busyMs, dropped: writer.droppedCount() }));
        process.exit(0);
      }
    }, 5);`;
  const child = spawn(
    process.execPath,
    ['--import=tsx', '--conditions=bluebell-source', '--input-type=module', '-e', program],
    { stdio: ['ignore', 'pipe', 'pipe'] },
  );
  // Nobody reads the standard output of the child: after a write that blocks it would never end.
  child.stdout.pause();
  let text = '';
  child.stderr.on('data', (chunk) => {
    text += String(chunk);
  });
  await new Promise((resolve) => {
    child.once('exit', resolve);
  });
  const { busyMs, dropped } = JSON.parse(text) as { busyMs: number; dropped: number };
  t.true(busyMs < 2_000, `${busyMs}`);
  t.true(dropped > 1_000, `${dropped}`);
});
