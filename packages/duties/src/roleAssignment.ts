/** Which workers should change their role to reach a wanted number of prefill workers. */
import type { WorkerRole } from '@bluebellhitch/protocol';
import type { OrderableWorker } from './workerView';

/** Roles by instance id, for workers that should change only. */
export type RoleChanges = ReadonlyMap<string, WorkerRole>;

/**
 * Changes as few workers as possible, and spreads the prefill role over the data centres. A worker in
 * the role `both` counts as a decode worker. At least one worker stays able to decode.
 */
export function assignRoles(
  workers: readonly OrderableWorker[],
  wantedPrefillWorkers: number,
): RoleChanges {
  const wanted = Math.min(wantedPrefillWorkers, workers.length - 1);
  if (wanted <= 0) {
    return rolesFor(
      workers.filter(({ state }) => state.role !== 'both'),
      'both',
    );
  }
  const prefill = workers.filter(({ state }) => state.role === 'prefill');
  const others = workers.filter(({ state }) => state.role !== 'prefill');
  return prefill.length < wanted
    ? rolesFor(pickSpread(others, prefill, wanted - prefill.length, 1), 'prefill')
    : rolesFor(pickSpread(prefill, prefill, prefill.length - wanted, -1), 'decode');
}

/**
 * Picks `count` candidates one by one: each from the data centre with the fewest (`direction` 1) or
 * the most (-1) prefill workers at that point.
 */
function pickSpread(
  candidates: readonly OrderableWorker[],
  prefill: readonly OrderableWorker[],
  count: number,
  direction: 1 | -1,
): OrderableWorker[] {
  const prefillCounts = countByDataCentre(prefill);
  const countIn = (worker: OrderableWorker) => prefillCounts.get(worker.dataCentre) ?? 0;
  let left = candidates.filter(({ deferred }) => !deferred);
  return Array.from({ length: Math.min(count, left.length) }).flatMap(() => {
    const [picked] = [...left].sort(
      (a, b) => direction * (countIn(a) - countIn(b)) || a.instanceId.localeCompare(b.instanceId),
    );
    if (picked === undefined) {
      return [];
    }
    left = left.filter((worker) => worker !== picked);
    prefillCounts.set(picked.dataCentre, countIn(picked) + direction);
    return [picked];
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
