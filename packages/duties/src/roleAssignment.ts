/** Selects the workers that change their role to reach the target number of prefill workers. */
import type { WorkerRole } from '@bluebellhitch/protocol';
import type { OrderableWorker } from './workerView';

/** New roles by instance id, only for workers that change. */
export type RoleChanges = ReadonlyMap<string, WorkerRole>;

/**
 * Changes as few workers as possible, and spreads the prefill role over the data centres. A worker in the role `both`
 * counts as a decode worker. At least one worker always remains able to decode.
 */
export function assignRoles(
  workers: readonly OrderableWorker[],
  targetPrefillWorkers: number,
): RoleChanges {
  const target = Math.min(targetPrefillWorkers, workers.length - 1);
  if (target <= 0) {
    return rolesFor(
      workers.filter(({ state }) => state.role !== 'both'),
      'both',
    );
  }
  const prefill = workers.filter(({ state }) => state.role === 'prefill');
  const others = workers.filter(({ state }) => state.role !== 'prefill');
  return prefill.length < target
    ? rolesFor(selectSpread(others, prefill, target - prefill.length, 1), 'prefill')
    : rolesFor(selectSpread(prefill, prefill, prefill.length - target, -1), 'decode');
}

/**
 * Selects `count` candidates one by one, each from the data centre with the fewest (`direction` 1) or most (-1) prefill
 * workers at that point.
 */
function selectSpread(
  candidates: readonly OrderableWorker[],
  prefill: readonly OrderableWorker[],
  count: number,
  direction: 1 | -1,
): OrderableWorker[] {
  const prefillCounts = countByDataCentre(prefill);
  const countIn = (worker: OrderableWorker) => prefillCounts.get(worker.dataCentre) ?? 0;
  let remaining = candidates.filter(({ deferred }) => !deferred);
  return Array.from({ length: Math.min(count, remaining.length) }).flatMap(() => {
    const [selected] = [...remaining].sort(
      (a, b) => direction * (countIn(a) - countIn(b)) || a.instanceId.localeCompare(b.instanceId),
    );
    if (selected === undefined) {
      return [];
    }
    remaining = remaining.filter((worker) => worker !== selected);
    prefillCounts.set(selected.dataCentre, countIn(selected) + direction);
    return [selected];
  });
}

function countByDataCentre(workers: readonly OrderableWorker[]): Map<string, number> {
  return workers.reduce(
    (counts, { dataCentre }) => counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1),
    new Map<string, number>(),
  );
}

function rolesFor(workers: readonly OrderableWorker[], role: WorkerRole): RoleChanges {
  return new Map(workers.map(({ instanceId }) => [instanceId, role]));
}
