/** What a router knows of those that keep a quota with it: who is there, who was heard lately, and what each has told. */
import { createBoundedMap } from './boundedMap';

export interface QuotaRouter {
  life?: string;
  heardAtMs: number;
  /** For which its even part was set aside, since it last told what it admitted. */
  presumedMs: number;
  /** Told for each workspace, in its life. */
  sums: Map<string, number>;
}

export interface QuotaRouters {
  /** The routers of this one's part, without itself, and how many there are in all parts. */
  set(companions: readonly string[], routerCount: number): void;
  get(address: string): QuotaRouter | undefined;
  /** Counts it as heard. */
  note(address: string, nowMs: number): QuotaRouter;
  isSilent(address: string, nowMs: number): boolean;
  /** It has stopped; it counts again with its next life. */
  noteLeft(address: string): void;
  noteNewLife(address: string, life: string): void;
  /** Of the part, this one too; a guess while this one has just started. */
  count(nowMs: number): number;
  /** Of rate and burst, for the routers that are heard; the silent ones are taken to spend the rest. */
  groupShare(nowMs: number): number;
  /** Of all routers, those of this one's part. */
  partShare(): number;
  /** This one started lately, and may not have heard all others. */
  isYoung(nowMs: number): boolean;
}

/** A router is heard once a second; half a second more for its way. */
const silentMs = 1_500;
/** Routers hear all others of their part within this time of their start. */
const youngMs = 2_500;
/** A router that starts does not know how many there are: as many as a part may have, about. */
const assumedRouters = 32;
const maxRouters = 512;

export function createQuotaRouters(startedAtMs: number): QuotaRouters {
  const routers = createBoundedMap<string, QuotaRouter>({ maxEntries: maxRouters });
  const gone = new Set<string>();
  let companions: readonly string[] = [];
  let share = 1;

  const isYoung = (nowMs: number) => nowMs - startedAtMs < youngMs;

  function isSilent(address: string, nowMs: number): boolean {
    const router = routers.get(address);
    return router === undefined || nowMs - router.heardAtMs > silentMs;
  }

  function count(nowMs: number): number {
    return Math.max(companions.length + 1, isYoung(nowMs) ? assumedRouters : 1);
  }

  function note(address: string, nowMs: number): QuotaRouter {
    const router = routers.getOrCreate(address, () => ({
      heardAtMs: nowMs,
      presumedMs: 0,
      sums: new Map(),
    }));
    router.presumedMs += Math.max(0, nowMs - router.heardAtMs - silentMs);
    router.heardAtMs = Math.max(router.heardAtMs, nowMs);
    return router;
  }

  return {
    set(next, routerCount) {
      companions = next.filter((address) => !gone.has(address));
      share = Math.min(1, (next.length + 1) / Math.max(1, routerCount));
    },
    get: routers.get,
    note,
    isSilent,
    noteLeft(address) {
      gone.add(address);
      companions = companions.filter((companion) => companion !== address);
    },
    noteNewLife(address, life) {
      gone.delete(address);
      const router = routers.get(address);
      if (router !== undefined) {
        router.life = life;
        router.sums.clear();
      }
    },
    count,
    groupShare(nowMs) {
      const heard = companions.filter((address) => !isSilent(address, nowMs)).length;
      return Math.min(1, (heard + 1) / count(nowMs));
    },
    partShare: () => share,
    isYoung,
  };
}
