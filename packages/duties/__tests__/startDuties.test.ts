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
  const dead = new Set<string>();
  const duties = entries.map(({ id }, index) =>
    startDuties({
      platform: mortal(platform, () => dead.has(id)),
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
  return { platform, present, dead, duties, stopAll };
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

// The holder's process dies without a word, and the list of instances still shows it. An operator saves
// an edit just then. Nobody may wait for the list: the two others take the lease when it has lapsed.
test.serial('an edit is accepted within five seconds of the death of the holder', async (t) => {
  const { platform, dead } = createFixture(5);
  await clock.tickAsync(5000);
  const lease = await settle(clock, platform.get('lease', 'accept'));
  dead.add((lease._unsafeUnwrap().value as { holderId: string }).holderId);
  const text = plainDocument('counter-app', 'counter.example');
  await settle(clock, platform.create('document', 'counter-app', { text, format: 'yaml' }));
  await clock.tickAsync(5000);
  t.true((await settle(clock, platform.get('accepted', 'counter-app'))).isOk());
});

// The list of instances is empty: the platform has only just come up, or its list is broken. Waiting
// for a rank would leave documents unaccepted until somebody looks.
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

/** The platform as a process sees it whose calls end unheard once it is dead. */
function mortal(platform: PlatformApi, isDead: () => boolean): PlatformApi {
  const unheard = <Value>(): ResultAsync<Value, never> =>
    ResultAsync.fromSafePromise(new Promise<Value>(() => {}));
  return {
    ...platform,
    get: (...call) => (isDead() ? unheard() : platform.get(...call)),
    update: (...call) => (isDead() ? unheard() : platform.update(...call)),
    watch: (...call) => (isDead() ? unheard() : platform.watch(...call)),
  };
}
