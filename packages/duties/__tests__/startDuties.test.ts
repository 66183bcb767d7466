import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { ResultAsync } from 'neverthrow';
import { acceptedDocumentSchema } from '@bluebellhitch/document';
import type { PlatformApi, PlatformInstance } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createStandinPlatform } from '@bluebellhitch/standins';
import { dutyRank } from '../src/dutyRanks';
import { startDuties } from '../src/startDuties';
import { plainDocument } from './helpers/acceptorFixture';
import { settle } from './helpers/settle';
import { createWorkerFleet } from './helpers/workerFleet';

let clock: FakeTimers.Clock;
test.afterEach.always(() => clock?.uninstall());

function entry(index: number, dataCentre = 'tacoma-hall'): PlatformInstance {
  const innerAddress = `http://127.0.0.1:${20_000 + index}`;
  return { id: `entry-${index}`, kind: 'entry', dataCentre, innerAddress, state: 'live' };
}

function createFixture(entryCount: number) {
  clock = FakeTimers.install();
  const platform = createStandinPlatform({ latencyMs: 4 });
  const fleet = createWorkerFleet({ platform, service: 'draft-models', workerCount: 1 });
  const entries = Array.from({ length: entryCount }, (_, index) => entry(index));
  const present: PlatformInstance[] = [...entries];
  const crashed = new Set<string>();
  const duties = entries.map(({ id }, index) =>
    startDuties({
      platform: withCrashes(platform, () => crashed.has(id)),
      holderId: id,
      instances: () => [...present, ...fleet.instances()],
      documents: () => [],
      agentClient: fleet.connect(() => false),
      random: createSeededRandom(index),
    }),
  );
  const stopAll = async () => {
    const stopped = Promise.all(duties.map((one) => one.stop()));
    await clock.tickAsync(20_000);
    await stopped;
  };
  return { platform, present, crashed, duties, stopAll };
}

test.serial(
  'of many entries three compete, and a planned stop hands over in 1.1 seconds',
  async (t) => {
    const { platform, duties, stopAll, present } = createFixture(30);
    await clock.tickAsync(5000);
    platform.control.resetStats();
    await clock.tickAsync(60_000);
    const { calls } = platform.control.stats();
    t.true(calls.get / 60 < 5, `${calls.get / 60} reads a second`);
    t.true(calls.update / 60 < 2.5, `${calls.update / 60} writes a second`);
    const lease = await settle(clock, platform.get('lease', 'accept'));
    const { holderId } = lease._unsafeUnwrap().value as { holderId: string };
    const leaving = present.findIndex(({ id }) => id === holderId);
    void duties[leaving]?.stop();
    await clock.tickAsync(20);
    const written = await settle(
      clock,
      platform.create('document', 'counter-app', {
        text: plainDocument('counter-app', 'counter.example'),
        format: 'yaml',
      }),
    );
    t.true(written.isOk());
    await clock.tickAsync(1100);
    const accepted = await settle(clock, platform.get('accepted', 'counter-app'));
    t.is(acceptedDocumentSchema.parse(accepted._unsafeUnwrap().value).generation, 1);
    await stopAll();
  },
);

// The holder crashes without releasing its lease, stays in the list of instances, and an operator saves an edit. The
// other two competitors must take over when the lease has expired, without waiting for the list.
test.serial('an edit is accepted within five seconds of a crash of the holder', async (t) => {
  const { platform, crashed } = createFixture(5);
  await clock.tickAsync(5000);
  const lease = await settle(clock, platform.get('lease', 'accept'));
  crashed.add((lease._unsafeUnwrap().value as { holderId: string }).holderId);
  const text = plainDocument('counter-app', 'counter.example');
  await settle(clock, platform.create('document', 'counter-app', { text, format: 'yaml' }));
  await clock.tickAsync(5000);
  t.true((await settle(clock, platform.get('accepted', 'counter-app'))).isOk());
});

// The list of instances is empty because the platform has just started or its list is broken. Entries that waited for
// a rank would accept no documents until an operator intervened.
test.serial('an empty list of instances does not leave duties undone', async (t) => {
  const { platform, present, stopAll } = createFixture(2);
  present.splice(0);
  await clock.tickAsync(3000);
  t.true((await settle(clock, platform.get('lease', 'accept'))).isOk());
  await stopAll();
});

test.serial('duties prefer entries in the data centres of their service', (t) => {
  const instances = [entry(0, 'salem-hall'), entry(1, 'salem-hall'), entry(2, 'tacoma-hall')];
  const rank = (holderId: string) =>
    dutyRank({ duty: 'orders/draft-models', holderId, instances, dataCentres: ['tacoma-hall'] });
  t.is(rank('entry-2'), 0);
  t.is(rank('entry-9'), undefined);
});

/** The platform as seen by a process that can crash, after which its calls never complete. */
function withCrashes(platform: PlatformApi, hasCrashed: () => boolean): PlatformApi {
  const neverSettles = <Value>(): ResultAsync<Value, never> =>
    ResultAsync.fromSafePromise(new Promise<Value>(() => {}));
  return {
    ...platform,
    get: (...call) => (hasCrashed() ? neverSettles() : platform.get(...call)),
    update: (...call) => (hasCrashed() ? neverSettles() : platform.update(...call)),
    watch: (...call) => (hasCrashed() ? neverSettles() : platform.watch(...call)),
  };
}
