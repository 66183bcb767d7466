/** The stand-in platform's list of instances. Readers see it as it was `lagMs` ago. */
import type { PlatformInstance } from '@bluebellhitch/objects';
import { monotonicNowMs } from '@bluebellhitch/shared';

interface PendingChange {
  atMs: number;
  apply(visible: Map<string, PlatformInstance>): void;
}

export function createInstanceRegistry(initialLagMs: number) {
  const visible = new Map<string, PlatformInstance>();
  let lagMs = initialLagMs;
  let pending: PendingChange[] = [];

  function change(apply: PendingChange['apply']): void {
    pending.push({ atMs: monotonicNowMs(), apply });
  }

  function list(): PlatformInstance[] {
    const visibleUntilMs = monotonicNowMs() - lagMs;
    pending
      .filter((entry) => entry.atMs <= visibleUntilMs)
      .forEach((entry) => entry.apply(visible));
    pending = pending.filter((entry) => entry.atMs > visibleUntilMs);
    return structuredClone([...visible.values()]);
  }

  return {
    put(instance: PlatformInstance): void {
      change((instances) => instances.set(instance.id, structuredClone(instance)));
    },
    markLeaving(id: string): void {
      change((instances) => {
        const found = instances.get(id);
        if (found !== undefined) {
          instances.set(id, { ...found, state: 'leaving' });
        }
      });
    },
    remove(id: string): void {
      change((instances) => instances.delete(id));
    },
    setLag(durationMs: number): void {
      lagMs = durationMs;
    },
    list,
  };
}
