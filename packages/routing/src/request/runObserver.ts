/** Observes one run's engine while the run's events arrive: its pace, and what else it does during a pause. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { noPaces } from '../servers/decodePaces';
import type { RunContext } from '../servers/streamPauses';
import type { RouterDependencies } from './routerDependencies';
import type { StreamRelay } from './streamRelay';

export interface RunObserver {
  /** Called whenever the relay may have received events. */
  noteEvents(): void;
  contextSince(sinceMs: number): RunContext;
}

export interface ObservedRun {
  deps: Pick<RouterDependencies, 'engineLoads' | 'decodePaces'>;
  relay: Pick<StreamRelay, 'eventCount'>;
}

export function createRunObserver({ deps, relay }: ObservedRun, serverId: string): RunObserver {
  const { decodePaces = noPaces, engineLoads } = deps;
  const meter = decodePaces.beginRun(serverId);
  let eventCount = relay.eventCount();
  let lastEventAtMs = monotonicNowMs();

  return {
    noteEvents() {
      const newEvents = relay.eventCount() - eventCount;
      if (newEvents === 0) {
        return;
      }
      const isDisturbed = engineLoads.hadLocalPrefillSince(serverId, lastEventAtMs);
      lastEventAtMs = monotonicNowMs();
      eventCount += newEvents;
      meter.note(newEvents, lastEventAtMs, isDisturbed);
    },
    contextSince: (sinceMs) => ({
      serverId,
      streamCount: engineLoads.streamCount(serverId),
      hadLocalPrefill: engineLoads.hadLocalPrefillSince(serverId, sinceMs),
    }),
  };
}
