import type { Clock } from '@sinonjs/fake-timers';
import {
  createEngineLoads,
  createFleetShard,
  createLoadPoller,
  createServerDirectory,
  unresponsiveCauses,
  type CallOutcome,
  type EngineLoad,
} from '@bluebellhitch/routing';
import { rendezvousOrder } from '@bluebellhitch/shared';
import { decodeServer } from './support/decodeServer';
import { testWithFakeClock } from './support/fakeClockTest';

const ownAddress = '10.0.0.1:1';
const reportTimeoutMs = 400;
const report: EngineLoad = {
  stage: 'decode',
  waiting: 0,
  running: 0,
  usedTokens: 0,
  totalTokens: 10_000,
  reservedTokens: 0,
  isBusyWithOrder: false,
  isDraining: false,
  orderCount: 0,
  runs: [],
};
const noAnswer: CallOutcome<EngineLoad> = { kind: 'lost', detail: 'no answer', isOurs: true };

/** A router that asks the engine in place of this one. */
const otherRouter = Array.from({ length: 99 }, (_none, index) => `10.0.1.${index}:1`).find(
  (address) => rendezvousOrder('e', [ownAddress, address], (router) => router)[0] === address,
) as string;

function startPoller() {
  const directory = createServerDirectory();
  directory.put(decodeServer('e'));
  const loads = createEngineLoads();
  const state = { isSilent: true, peers: [] as string[] };
  const poller = createLoadPoller({
    backend: {
      async readLoad() {
        if (!state.isSilent) {
          return { kind: 'done', value: report };
        }
        await new Promise((resolve) => {
          setTimeout(resolve, reportTimeoutMs);
        });
        return noAnswer;
      },
    },
    directory,
    services: () => ['s'],
    pools: createFleetShard({ directory }),
    loads,
    streamSizes: { observeRuns: () => undefined },
    intervalMs: 1_000,
    ownAddress,
    livePeers: () => state.peers,
    random: () => 0.5,
  });
  poller.start();
  return { loads, state, poller };
}

async function stop(clock: Clock, poller: { stop(): Promise<void> }): Promise<void> {
  const stopped = poller.stop();
  await clock.tickAsync(2_000);
  await stopped;
}

testWithFakeClock(
  'an engine counts as unresponsive until it answers the router that asks it',
  async (t, clock) => {
    const { loads, state, poller } = startPoller();
    await clock.tickAsync(1_000);
    t.true(loads.isUnresponsive('e'));
    t.is(loads.unresponsiveEvidence('e')?.own?.cause, unresponsiveCauses.reportTimeout);
    await clock.tickAsync(3_000);
    t.true(loads.isUnresponsive('e'));
    state.isSilent = false;
    await clock.tickAsync(2_000);
    t.false(loads.isUnresponsive('e'));
    await stop(clock, poller);
  },
);

testWithFakeClock(
  'an engine that another router asks from now on does not stay unresponsive by the sign of this one',
  async (t, clock) => {
    // A router joined or restarted while an engine was silent: the one that had asked it before never asked it again, and
    // no router used the engine until the routers changed once more.
    const { loads, state, poller } = startPoller();
    await clock.tickAsync(1_000);
    t.true(loads.isUnresponsive('e'));
    state.peers = [otherRouter];
    await clock.tickAsync(2_000);
    t.false(loads.isUnresponsive('e'));
    t.deepEqual(loads.ownUse(), []);
    await stop(clock, poller);
  },
);

testWithFakeClock(
  'a report that fails after another router has taken the engine over is no sign',
  async (t, clock) => {
    // The answer in flight at the change would otherwise set the sign that nothing takes back.
    const { loads, state, poller } = startPoller();
    await clock.tickAsync(100);
    state.peers = [otherRouter];
    await clock.tickAsync(3_000);
    t.false(loads.isUnresponsive('e'));
    await stop(clock, poller);
  },
);
