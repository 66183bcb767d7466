/** Steps of soak scripts of kind `versions`. They use a random generator of their own. */
import { createSeededRandom } from '@bluebellhitch/shared';
import { streamVersions } from './serverSlots';
import type { ScriptOptions, ScriptStep } from './script';

const releaseSeedOffset = 15_487_469;
/** Mean time between the starts of two releases, so that some overlap. */
const releaseIntervalMs = 6_000;
/** The first slots hold the engines. */
const engineSlotCount = 5;

/** Releases in both directions, each with crashes of engines and kills of routers in the seconds after its start. */
export function createReleaseSteps({ seed, durationMs, routerCount }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + releaseSeedOffset);
  random();
  const count = Math.max(2, Math.round(durationMs / releaseIntervalMs));
  return Array.from({ length: count }, (_none, index): ScriptStep[] => {
    const atMs = Math.round(((index + random() * 0.5) / count) * durationMs);
    const softwareVersion = streamVersions[(index + 1) % streamVersions.length] ?? 'v1';
    const gapMs = Math.round(200 + random() * 800);
    const soon = () => Math.min(durationMs, Math.round(atMs + random() * releaseIntervalMs));
    const crashes = Array.from({ length: 3 }, (): ScriptStep => ({
      atMs: soon(),
      operation: {
        kind: 'crash-server',
        server: Math.floor(random() * engineSlotCount),
        downMs: Math.round(100 + random() * 900),
      },
    }));
    const kills = Array.from({ length: 2 }, (): ScriptStep => ({
      atMs: soon(),
      operation: {
        kind: 'kill-router',
        router: Math.floor(random() * routerCount),
        downMs: Math.round(random() * 500),
      },
    }));
    return [{ atMs, operation: { kind: 'release', softwareVersion, gapMs } }, ...crashes, ...kills];
  }).flat();
}
