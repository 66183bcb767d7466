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

/** One change at most: each takes an engine away for seconds. */
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
  const countAt = (dataCentre: string) =>
    prefill.filter((server) => server.dataCentre === dataCentre).length;
  const direction = which === 'most' ? -1 : 1;
  return [...givers].sort(
    (left, right) =>
      direction * (countAt(left.dataCentre) - countAt(right.dataCentre)) ||
      left.id.localeCompare(right.id),
  )[0];
}
