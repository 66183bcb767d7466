/**
 * How a process of the world follows the platform: the list of instances by polls, the accepted
 * documents and quarantines by watches. A small stand-in for the membership of real processes.
 */
import {
  objectKinds,
  type ObjectKind,
  type PlatformApi,
  type PlatformInstance,
} from '@bluebellhitch/platform';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { Instances } from '@bluebellhitch/entry';

export interface InstanceView extends Instances {
  isKnown(): boolean;
}

const pollMs = 500;
const watchWaitMs = 10_000;
const retryMs = 300;
/** An instance that could not be reached is tried again after this long. */
const downMs = 2_000;

/** Polls the list of instances until `signal` aborts. */
export function followInstances(platform: PlatformApi, signal: AbortSignal): InstanceView {
  const leaving = new Set<string>();
  const downUntilMs = new Map<string, number>();
  let listed: PlatformInstance[] | undefined;
  let lists = new Map<string, PlatformInstance[]>();

  function change(): void {
    lists = new Map();
  }

  function isUsable({ id, state }: PlatformInstance): boolean {
    return state === 'live' && !leaving.has(id) && (downUntilMs.get(id) ?? 0) <= monotonicNowMs();
  }

  function takeList(instances: PlatformInstance[]): void {
    listed = instances;
    change();
  }

  async function poll(): Promise<void> {
    while (!signal.aborted) {
      const answer = await platform.instances();
      answer.map(takeList);
      await delay(pollMs, signal);
    }
  }

  function agents(service: string): PlatformInstance[] {
    const list =
      lists.get(service) ??
      (listed ?? []).filter((instance) => instance.service === service && isUsable(instance));
    lists.set(service, list);
    return list;
  }

  void poll();
  return {
    isKnown: () => listed !== undefined,
    agents,
    entries: () => (listed ?? []).filter(({ kind }) => kind === 'entry'),
    markLeaving: (id) => {
      leaving.add(id);
      change();
    },
    markDown: (id) => {
      downUntilMs.set(id, monotonicNowMs() + downMs);
      change();
    },
  };
}

export interface FollowObjectsOptions {
  platform: PlatformApi;
  kind: ObjectKind;
  signal: AbortSignal;
  onValue: (value: unknown) => void;
}

/** Reports every object of a kind, and each change, until `signal` aborts. */
export async function followObjects(options: FollowObjectsOptions): Promise<void> {
  const { platform, kind, signal } = options;
  while (!signal.aborted) {
    const listed = await platform.list(kind);
    if (listed.isOk()) {
      listed.value.objects.forEach(({ value }) => options.onValue(value));
      await followFrom(listed.value.cursor, options);
    }
    await delay(retryMs, signal);
  }
}

/** Returns when the watch failed or lost its place. */
async function followFrom(
  firstCursor: string,
  { platform, kind, signal, onValue }: FollowObjectsOptions,
): Promise<void> {
  let cursor = firstCursor;
  while (!signal.aborted) {
    const reply = await platform.watch(kind, cursor, watchWaitMs, signal);
    if (reply.isErr() || reply.value.compacted) {
      return;
    }
    cursor = reply.value.cursor;
    reply.value.events.forEach((event) => event.kind === 'put' && onValue(event.object.value));
  }
}

/** Follows accepted documents. */
export function followAccepted(
  options: Pick<FollowObjectsOptions, 'platform' | 'signal' | 'onValue'>,
): void {
  void followObjects({ ...options, kind: objectKinds.accepted });
}
