/** Counts the runs of each route and each idempotency key. Beyond `maxKeys` the oldest key is dropped. */

export interface RunCounts {
  countRoute(route: string): void;
  /** Counts a run of the key and returns the number of its runs so far. */
  countKey(idempotencyKey: string): number;
  read(): { routes: Record<string, number>; runsByKey: Record<string, number> };
}

const maxKeys = 10_000;

export function createRunCounts(): RunCounts {
  const routes = new Map<string, number>();
  const runsByKey = new Map<string, number>();

  function increment(counts: Map<string, number>, key: string): number {
    const next = (counts.get(key) ?? 0) + 1;
    counts.set(key, next);
    return next;
  }

  return {
    countRoute: (route) => {
      increment(routes, route);
    },
    countKey: (idempotencyKey) => {
      const [oldest] = runsByKey.keys();
      if (runsByKey.size >= maxKeys && oldest !== undefined && !runsByKey.has(idempotencyKey)) {
        runsByKey.delete(oldest);
      }
      return increment(runsByKey, idempotencyKey);
    },
    read: () => ({
      routes: Object.fromEntries(routes),
      runsByKey: Object.fromEntries(runsByKey),
    }),
  };
}
