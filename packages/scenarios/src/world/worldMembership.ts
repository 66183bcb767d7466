/**
 * Membership of one simulated process: its view of the instances and its feed of records. Runs the real
 * modules with the world's platform, and direct calls between entries.
 */
import {
  createFeedFollower,
  createFeedServer,
  createFeedStore,
  createInstanceDirectory,
  type CallFeed,
  type FeedServer,
  type InstanceDirectory,
} from '@bluebellhitch/membership';
import type { PlatformApi } from '@bluebellhitch/objects';
import { feedKinds, type FeedRecord, type FeedReply } from '@bluebellhitch/protocol';
import { delay, type Random } from '@bluebellhitch/shared';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Network } from './network';
import type { Safeguard } from './safeguards';
import { runOutsideProcesses, type SimulatedProcess } from './simulatedProcess';

/** An entry process that serves its feed. */
export interface FeedHost {
  process: SimulatedProcess;
  feed: FeedServer['feed'];
}

/** Dependencies by which the processes of a world follow the configuration. */
export interface MembershipLinks {
  platform: PlatformApi;
  network: Network;
  random: Random;
  /** Returns the entry that currently listens at the address. */
  feedAt: (address: string) => FeedHost | undefined;
  isDisabled: (safeguard: Safeguard) => boolean;
}

export interface MembershipOptions extends MembershipLinks {
  process: SimulatedProcess;
  dataCentre: string;
  /** An agent's own service; absent for entries. */
  service?: string;
  onRecord: (record: FeedRecord) => void;
}

export interface WorldMembership {
  directory: InstanceDirectory;
  feed: FeedServer['feed'];
}

/** Interval at which an agent without a relay in its data centre reads the platform. */
const agentPlatformPauseMs = 2_000;

/** Starts to follow the configuration, until the process crashes. */
export function startMembership(options: MembershipOptions): WorldMembership {
  const { process, dataCentre, service, platform, random, onRecord, isDisabled } = options;
  const store = createFeedStore({ incarnation: `${process.id}-${random()}` });
  const directory = createInstanceDirectory({ platform, random });
  const server = createFeedServer(store, { directory });
  const follower = createFeedFollower({
    ...{ platform, directory, store, dataCentre, random, instanceId: process.id },
    ...(service === undefined
      ? {}
      : { services: [service], platformPauseMs: agentPlatformPauseMs }),
    callFeed: callThroughNetwork(options),
  });
  // Without the generation check a process accepts any record that arrives last.
  const skipsGenerationCheck = isDisabled('generation-check');
  store.subscribe((applied) => applied.filter(isNotRemoved).forEach(onRecord));
  directory.start();
  follower.start();
  return {
    directory,
    feed: skipsGenerationCheck
      ? (...input) => server.feed(...input).then(stampAsNewest)
      : server.feed,
  };
}

function isNotRemoved({ removed }: FeedRecord): boolean {
  return !removed;
}

let stampCount = 0;

function stampAsNewest(reply: FeedReply): FeedReply {
  const records = reply.records.map((record): FeedRecord => {
    if (record.kind !== feedKinds.accepted) {
      return record;
    }
    stampCount += 1;
    const generation = 1_000 + stampCount;
    return { ...record, generation, value: { ...(record.value as object), generation } };
  });
  return { ...reply, records };
}

function callThroughNetwork({ process, network, feedAt }: MembershipOptions): CallFeed {
  const unavailable = (detail: string) => err({ kind: 'feed-unavailable' as const, detail });

  async function call(...[address, request, signal]: Parameters<CallFeed>) {
    await process.whenRunning();
    await runOutsideProcesses(() => delay(network.latencyMs()));
    const host = feedAt(address);
    if (host === undefined || host.process.state() === 'crashed') {
      return unavailable('connection refused');
    }
    await network.whenConnected(process.id, host.process.id);
    await host.process.whenRunning();
    const reply = await Promise.race([
      host.process.run(() => host.feed(request, signal)),
      whenAborted(host.process.crashSignal),
    ]);
    await runOutsideProcesses(() => delay(network.latencyMs()));
    await network.whenConnected(process.id, host.process.id);
    await process.whenRunning();
    return reply === undefined ? unavailable('connection reset') : ok(reply);
  }

  return (address, request, signal) =>
    new ResultAsync(
      Promise.race([
        call(address, request, signal),
        whenAborted(signal).then(() => unavailable('given up')),
      ]),
    );
}

function whenAborted(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve(undefined);
    }
    signal.addEventListener('abort', () => resolve(undefined), { once: true });
  });
}
