/** Queries the workers of a service for their state, with bounded concurrency. */
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { LoadHint, WorkerState } from '@bluebellhitch/protocol';
import type { OrderAgentClient } from './orderAgentClient';

export interface ObservedWorker {
  instance: PlatformInstance;
  /** Absent if the worker did not respond. */
  state?: WorkerState;
  load?: LoadHint;
}

export interface ObserveWorkersOptions {
  instances: readonly PlatformInstance[];
  agentClient: Pick<OrderAgentClient, 'workerState' | 'load'>;
  service: string;
  /** Whether to query loads as well; they are not needed if the document fixes the roles. */
  withLoad: boolean;
  concurrency?: number;
}

export async function observeWorkers(options: ObserveWorkersOptions): Promise<ObservedWorker[]> {
  const { instances, concurrency = 16 } = options;
  const waiting = [...instances];
  const observed: ObservedWorker[] = [];

  async function observeNext(): Promise<void> {
    const instance = waiting.shift();
    if (instance !== undefined) {
      observed.push(await observeWorker(instance, options));
      await observeNext();
    }
  }

  await Promise.all(Array.from({ length: concurrency }, observeNext));
  return observed.sort((left, right) => left.instance.id.localeCompare(right.instance.id));
}

async function observeWorker(
  instance: PlatformInstance,
  { agentClient, service, withLoad }: ObserveWorkersOptions,
): Promise<ObservedWorker> {
  const state = await agentClient.workerState(instance.innerAddress);
  if (state.isErr()) {
    return { instance };
  }
  const load = withLoad ? await agentClient.load(instance.innerAddress, service) : undefined;
  return { instance, state: state.value, load: load?.unwrapOr(undefined) };
}
