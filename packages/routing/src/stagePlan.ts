/** How many of a service's engines should read prompts, and which of them should change their stage. */
import { stages, type BackendServer, type Stage } from './model';

export interface StageChange {
  server: BackendServer;
  stage: Stage;
}

export interface StagePlanOptions {
  /** The service's engines that take requests. */
  engines: readonly BackendServer[];
  /** Engines that were told to change already, by id, with the stage to come. */
  pending: ReadonlyMap<string, Stage>;
  /** Part of the engines' work that is reading prompts, in (0, 1). */
  prefillShare: number;
}

/**
 * A change takes an engine away for seconds, so one is made at a time, or this part of a large pool: 2,600 engines,
 * a seventh of them at the wrong stage, would take minutes one by one.
 */
const changedShare = 0.02;

export function planStageChanges(options: StagePlanOptions): StageChange[] {
  const mostChanges = Math.max(1, Math.floor(options.engines.length * changedShare));
  const changes: StageChange[] = [];
  const pending = new Map(options.pending);
  for (let planned = 0; planned < mostChanges; planned += 1) {
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
  const wanted = wantedPrefillCount(engines.length, prefillShare);
  const free = engines.filter(({ id }) => !pending.has(id));
  if (prefill.length > wanted) {
    const givers = free.filter(({ stage }) => stage === stages.prefill);
    return changeTo(stages.decode, pickFromCentre(givers, prefill, 'most'));
  }
  if (prefill.length < wanted) {
    const givers = free.filter(({ stage }) => stage === stages.decode);
    return changeTo(stages.prefill, pickFromCentre(givers, prefill, 'fewest'));
  }
  return undefined;
}

/** At least one of each stage where there are two engines. */
export function wantedPrefillCount(engineCount: number, prefillShare: number): number {
  if (engineCount < 2) {
    return 0;
  }
  return Math.min(engineCount - 1, Math.max(1, Math.round(engineCount * prefillShare)));
}

function changeTo(stage: Stage, server: BackendServer | undefined): StageChange | undefined {
  return server === undefined ? undefined : { server, stage };
}

/** Keeps prefill engines spread over the data centres. */
function pickFromCentre(
  givers: readonly BackendServer[],
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
  return givers.reduce<BackendServer | undefined>(
    (best, giver) => (best === undefined || isBetter(giver, best) ? giver : best),
    undefined,
  );
}
