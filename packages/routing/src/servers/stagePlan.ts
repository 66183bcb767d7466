/** Plans how many of a service's engines should do prefill, and which engines should change their stage. */
import { stages, type BackendServer, type Stage } from '../model';

export interface StageChange {
  server: BackendServer;
  stage: Stage;
}

export interface StagePlanOptions {
  /** The service's engines that accept requests. */
  engines: readonly BackendServer[];
  /** Engines that have already been ordered to change, by id, with their new stage. */
  pending: ReadonlyMap<string, Stage>;
  /** Share of the engines' work that is prefill, in (0, 1). */
  prefillShare: number;
}

/**
 * A change makes an engine unavailable for seconds, so only one is made at a time, or this share of a large pool: with
 * 2,600 engines, a seventh of them at the wrong stage, changing one by one would take minutes.
 */
const maxChangedShare = 0.02;

export function planStageChanges(options: StagePlanOptions): StageChange[] {
  const maxChanges = Math.max(1, Math.floor(options.engines.length * maxChangedShare));
  const changes: StageChange[] = [];
  const pending = new Map(options.pending);
  for (let planned = 0; planned < maxChanges; planned += 1) {
    const change = planStageChange({ ...options, pending });
    if (change === undefined) {
      return changes;
    }
    changes.push(change);
    pending.set(change.server.id, change.stage);
  }
  return changes;
}

export function planStageChange(options: StagePlanOptions): StageChange | undefined {
  const { engines, pending, prefillShare } = options;
  const stageOf = (server: BackendServer) => pending.get(server.id) ?? server.stage;
  const prefill = engines.filter((server) => stageOf(server) === stages.prefill);
  const targetCount = targetPrefillCount(engines.length, prefillShare);
  const unchanged = engines.filter(({ id }) => !pending.has(id));
  if (prefill.length > targetCount) {
    const candidates = unchanged.filter(({ stage }) => stage === stages.prefill);
    return changeTo(stages.decode, pickByDataCentre(candidates, prefill, 'most'));
  }
  if (prefill.length < targetCount) {
    const candidates = unchanged.filter(({ stage }) => stage === stages.decode);
    return changeTo(stages.prefill, pickByDataCentre(candidates, prefill, 'fewest'));
  }
  return undefined;
}

/** At least one engine for each stage if there are two or more engines. */
export function targetPrefillCount(engineCount: number, prefillShare: number): number {
  if (engineCount < 2) {
    return 0;
  }
  return Math.min(engineCount - 1, Math.max(1, Math.round(engineCount * prefillShare)));
}

function changeTo(stage: Stage, server: BackendServer | undefined): StageChange | undefined {
  return server === undefined ? undefined : { server, stage };
}

/** Chooses the engine to change so that prefill engines stay spread over the data centres. */
function pickByDataCentre(
  candidates: readonly BackendServer[],
  prefill: readonly BackendServer[],
  which: 'most' | 'fewest',
): BackendServer | undefined {
  const counts = new Map<string, number>();
  prefill.forEach(({ dataCentre }) => counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1));
  const direction = which === 'most' ? -1 : 1;
  const isBetter = (left: BackendServer, right: BackendServer) => {
    const difference = (counts.get(left.dataCentre) ?? 0) - (counts.get(right.dataCentre) ?? 0);
    return difference === 0 ? left.id < right.id : direction * difference < 0;
  };
  return candidates.reduce<BackendServer | undefined>(
    (best, candidate) => (best === undefined || isBetter(candidate, best) ? candidate : best),
    undefined,
  );
}
