/**
 * Follows runs whose server has only just begun to write an answer. A run that crashes its server does so soon after
 * that, also where its answer is complete by then. A server that is still there some time later has taken no harm.
 * Times are milliseconds of one clock.
 */
import { createBoundedMap } from './boundedMap';

export interface UnsettledRuns<Run> {
  begin(serverId: string, run: Run, beganAtMs: number): void;
  /** The server has responded. Returns the runs that have done it no harm until now, each once. */
  noteAlive(serverId: string, nowMs: number): Run[];
  /** The server has ended. Returns the runs that had only just begun; of the others nothing is known. */
  noteEnded(serverId: string, endedAtMs: number): Run[];
}

export interface UnsettledRunsOptions {
  /** Time from the start of writing after which a run has done no harm. */
  settleMs: number;
  maxServers?: number;
  maxRunsPerServer?: number;
}

interface UnsettledRun<Run> {
  run: Run;
  beganAtMs: number;
}

export function createUnsettledRuns<Run>(options: UnsettledRunsOptions): UnsettledRuns<Run> {
  const { settleMs, maxServers = 1_024, maxRunsPerServer = 64 } = options;
  const runsOf = createBoundedMap<string, UnsettledRun<Run>[]>({ maxEntries: maxServers });

  const hasSettled = ({ beganAtMs }: UnsettledRun<Run>, nowMs: number) =>
    beganAtMs + settleMs <= nowMs;

  return {
    begin(serverId, run, beganAtMs) {
      const runs = runsOf.get(serverId) ?? [];
      runsOf.set(serverId, [...runs, { run, beganAtMs }].slice(-maxRunsPerServer));
    },
    noteAlive(serverId, nowMs) {
      const runs = runsOf.get(serverId) ?? [];
      const [oldest] = runs;
      if (oldest === undefined || !hasSettled(oldest, nowMs)) {
        return [];
      }
      const left = runs.filter((run) => !hasSettled(run, nowMs));
      if (left.length === 0) {
        runsOf.delete(serverId);
      } else {
        runsOf.set(serverId, left);
      }
      return runs.filter((run) => hasSettled(run, nowMs)).map(({ run }) => run);
    },
    noteEnded(serverId, endedAtMs) {
      const runs = runsOf.get(serverId) ?? [];
      runsOf.delete(serverId);
      return runs.filter((run) => !hasSettled(run, endedAtMs)).map(({ run }) => run);
    },
  };
}
