/** Steps of a script in which routers get little or no processor time, so that callers leave early. */
import { createSeededRandom } from '@bluebellhitch/shared';
import type { ScriptOptions, ScriptStep } from './script';

const seedOffset = 122_949_823;
const msPerStep = 8_000;
const periodMs = 100;

/** Uses its own random generator. */
export function createHoldUpSteps(options: ScriptOptions): ScriptStep[] {
  const { seed, durationMs, routerCount } = options;
  const random = createSeededRandom(seed + seedOffset);
  random();
  const count = Math.max(1, Math.round(durationMs / msPerStep));
  const atMs = () => Math.round(random() * durationMs);
  const router = () => Math.floor(random() * routerCount);
  return Array.from({ length: count }, (): ScriptStep[] => [
    {
      atMs: atMs(),
      operation: {
        kind: 'starve-router',
        router: router(),
        runMs: Math.round(5 + random() * 25),
        periodMs,
        forMs: Math.round(1_000 + random() * 3_000),
      },
    },
    // So long that many callers have left long before the process goes on.
    {
      atMs: atMs(),
      operation: {
        kind: 'freeze-router',
        router: router(),
        forMs: Math.round(2_000 + random() * 1_000),
      },
    },
  ]).flat();
}
