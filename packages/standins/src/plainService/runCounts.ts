/** Counts how often each route and each idempotency key ran. Bounded by forgetting the oldest key. */

export interface RunCounts {
  countRoute(route: string): void;
  /** Returns how often the key has run by now. */
  countKey(idempotencyKey: string): number;
  read(): { routes: Record<string, number>; runsByKey: Record<string, number> };
}

const keyLimit = 10_000;

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
      if (runsByKey.size >= keyLimit && oldest !== undefined && !runsByKey.has(idempotencyKey)) {
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
