/** Faults of the goodput experiment, injected and repaired by kills and the stand-ins' control endpoints. */
import { assertNever } from '@bluebellhitch/shared';
import {
  emptyPrefillTotals,
  readPrefillTotals,
  type PrefillTotals,
} from '../accounting/prefillTotals';
import { sendJson } from '../fleet/controlCalls';
import type { Fleet, FleetBackend } from '../fleet/startFleet';

export const faultKinds = {
  workerKilled: 'worker-killed',
  linkStalled: 'link-stalled',
  platformDown: 'platform-down',
} as const;
export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds];

export interface Fault {
  /** Fraction of the measured window after which the fault begins. */
  startFraction: number;
  /** Fraction of the window after which the fault ends; if absent, it lasts until the cell ends. */
  endFraction?: number;
  begin(): Promise<void>;
  end(): Promise<void>;
  /** Restores the fleet after the cell. */
  repair(): Promise<void>;
  /** Counters of a killed worker, read just before it was killed. */
  lostTotals(): PrefillTotals;
}

const noop = () => Promise.resolve();

export function createFault(kind: FaultKind, fleet: Fleet): Fault {
  switch (kind) {
    case faultKinds.workerKilled:
      return killWorker(fleet);
    case faultKinds.linkStalled:
      return stallLink(fleet);
    case faultKinds.platformDown:
      return stopPlatform(fleet);
    default:
      return assertNever(kind);
  }
}

/** Kills a decode worker and its agent, with all their streams. */
function killWorker(fleet: Fleet): Fault {
  const victim = findBackend(fleet, 'decode');
  let lost = emptyPrefillTotals;
  return {
    startFraction: 0.4,
    begin: async () => {
      lost = await readPrefillTotals([victim.address]);
      victim.kill();
    },
    end: noop,
    repair: () => fleet.replaceBackend(victim.description.id),
    lostTotals: () => lost,
  };
}

/** Stalls all transfers from a prefill worker for part of the window; the worker itself keeps running. */
function stallLink(fleet: Fleet): Fault {
  const { address } = findBackend(fleet, 'prefill');
  const setStalled = (stallTransfers: boolean) =>
    sendJson('POST', `${address}/control`, { stallTransfers });
  return {
    startFraction: 0.3,
    endFraction: 0.7,
    begin: () => setStalled(true),
    end: () => setStalled(false),
    repair: () => setStalled(false),
    lostTotals: () => emptyPrefillTotals,
  };
}

/** Makes the platform refuse every call. */
function stopPlatform({ platformUrl }: Fleet): Fault {
  const setOutage = (on: boolean) => sendJson('POST', `${platformUrl}/control/outage`, { on });
  return {
    startFraction: 0.3,
    begin: () => setOutage(true),
    end: noop,
    repair: () => setOutage(false),
    lostTotals: () => emptyPrefillTotals,
  };
}

function findBackend(fleet: Fleet, role: string): FleetBackend {
  const found = fleet.backends().find(({ description }) => description.role === role);
  if (found === undefined) {
    throw new Error(`the fleet has no ${role} worker`);
  }
  return found;
}
