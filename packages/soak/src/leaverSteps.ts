/** Steps of soak scripts of kind `leavers`. They use a random generator of their own. */
import { createSeededRandom } from '@bluebellhitch/shared';
import type { ScriptOptions, ScriptStep } from './script';

const leaverSeedOffset = 122_949_823;
/** Mean time between two servers that leave: each takes several times as long. */
const leaveIntervalMs = 1_500;
/** For one of this many leavers, a router is cut off from the store as it leaves. */
const leaversPerCut = 2;

export function createLeaverSteps(options: ScriptOptions): ScriptStep[] {
  const { seed, durationMs, routerCount, serverCount } = options;
  const random = createSeededRandom(seed + leaverSeedOffset);
  random();
  const between = (minMs: number, maxMs: number) => Math.round(minMs + random() * (maxMs - minMs));
  const anyOf = (count: number) => Math.floor(random() * count);
  const count = Math.max(2, Math.round(durationMs / leaveIntervalMs));

  function createLeaver(index: number): ScriptStep[] {
    const atMs = between(0, durationMs);
    const leave: ScriptStep = {
      atMs,
      operation: {
        kind: 'leave-late',
        server: anyOf(serverCount),
        isAnnounced: random() < 0.5,
        lateMs: between(300, 5_000),
        lingerMs: between(0, 6_000),
      },
    };
    const cut: ScriptStep = {
      atMs: Math.max(0, atMs - between(0, 1_000)),
      operation: {
        kind: 'store-link',
        router: anyOf(routerCount),
        link: { kind: 'silent' },
        forMs: between(1_500, 5_000),
      },
    };
    const expiry: ScriptStep = {
      atMs: between(0, durationMs),
      operation: { kind: 'expire-entry', server: anyOf(serverCount), awayMs: between(200, 3_000) },
    };
    return index % leaversPerCut === 0 ? [leave, cut] : [leave, expiry];
  }

  return Array.from({ length: count }, (_none, index) => createLeaver(index)).flat();
}
