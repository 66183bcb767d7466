import {
  createIgnoredEntryReview,
  createServerDirectory,
  type BackendServer,
} from '@bluebellhitch/routing';
import { createSeededRandom } from '@bluebellhitch/shared';
import { testWithFakeClock } from './support/fakeClockTest';
import { listedServer } from './support/listedServer';

const heartbeatMs = 1_200;

const entry = (entryNumber: number, over: Partial<BackendServer> = {}) =>
  listedServer('a', { entryNumber, ...over });

/** A router that ignores entry 5 of a server, as another writer has left one with the number 1,000. */
function createIgnoring(stored: () => BackendServer | undefined, random = createSeededRandom(1)) {
  const directory = createServerDirectory();
  directory.replaceAll([entry(4)]);
  directory.put(entry(1_000, { address: '10.9.9.9:1' }));
  directory.put(entry(5));
  let readCount = 0;
  const review = createIgnoredEntryReview({
    directory,
    async readEntry() {
      readCount += 1;
      return Promise.resolve(stored());
    },
    random,
  });
  return { directory, review, readCount: () => readCount };
}

testWithFakeClock(
  'a server that writes on is confirmed after three heartbeats',
  async (t, clock) => {
    const startedAtMs = clock.now;
    const { directory, review } = createIgnoring(() =>
      entry(5 + Math.floor((clock.now - startedAtMs) / heartbeatMs)),
    );
    review.noteIgnored('a');
    await clock.tickAsync(2 * heartbeatMs - 100);
    t.is(directory.usable('s')[0]?.address, '10.9.9.9:1');
    await clock.tickAsync(heartbeatMs);
    t.deepEqual(directory.usable('s'), []);
    directory.confirm('a');
    t.is(directory.usable('s')[0]?.address, '10.0.0.1:80');
  },
);

testWithFakeClock('an entry that nobody writes again stays ignored', async (t, clock) => {
  // It was written before the known one, and executed late.
  const { directory, review } = createIgnoring(() => entry(5));
  review.noteIgnored('a');
  await clock.tickAsync(10_000);
  t.is(directory.usable('s')[0]?.address, '10.9.9.9:1');
});

testWithFakeClock(
  'reading ends with the entry, with its next change and with the process',
  async (t, clock) => {
    for (const end of ['remove', 'change', 'close'] as const) {
      const { directory, review, readCount } = createIgnoring(() => undefined);
      review.noteIgnored('a');
      await clock.tickAsync(3_000);
      t.true(readCount() > 2);
      if (end === 'remove') {
        directory.remove('a');
      } else if (end === 'change') {
        directory.put(entry(1_001));
      } else {
        review.close();
      }
      const before = readCount();
      await clock.tickAsync(10_000);
      t.true(readCount() - before <= 1, end);
    }
  },
);

testWithFakeClock('a large fleet spreads its reads, and makes few of them', async (t, clock) => {
  const routerCount = 359;
  const random = createSeededRandom(2);
  const startedAtMs = clock.now;
  const fleet = Array.from({ length: routerCount }, () =>
    createIgnoring(() => entry(5 + Math.floor((clock.now - startedAtMs) / heartbeatMs)), random),
  );
  fleet.forEach(({ review }) => review.noteIgnored('a'));
  const reads = () => fleet.reduce((sum, { readCount }) => sum + readCount(), 0);
  const perSecond: number[] = [];
  for (let second = 0; second < 5; second += 1) {
    const before = reads();
    await clock.tickAsync(1_000);
    perSecond.push(reads() - before);
  }
  t.true(Math.max(...perSecond) <= 2.5 * routerCount, perSecond.join(' '));
  t.true(reads() <= 7 * routerCount, String(reads()));
  t.is(perSecond.at(-1), 0);
});
