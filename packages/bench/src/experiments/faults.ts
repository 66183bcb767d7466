/** Faults of the goodput experiment, made and mended at the stand-ins' control endpoints. */
import { assertNever } from '@bluebellhitch/shared';
import {
  emptyPrefillAccount,
  readPrefillAccount,
  type PrefillAccount,
} from '../accounting/prefillAccount';
import { sendJson } from '../fleet/controlCalls';
import type { Fleet, FleetBackend } from '../fleet/startFleet';

export const faultKinds = {
  workerKilled: 'worker-killed',
  linkStalled: 'link-stalled',
  platformDown: 'platform-down',
} as const;
export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds];

export interface Fault {
  /** Share of the measured window after which it begins. */
  beginsAt: number;
  /** Share of the window after which it ends by itself; absent: with the cell. */
  endsAt?: number;
  begin(): Promise<void>;
  end(): Promise<void>;
  /** Makes the fleet whole again behind the cell. */
  mend(): Promise<void>;
  /** What a worker that died had counted. */
  lostAccount(): PrefillAccount;
}

const nothing = () => Promise.resolve();

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

/** A decode worker and its agent die with all their streams. */
function killWorker(fleet: Fleet): Fault {
  const victim = firstBackend(fleet, 'decode');
  let lost = emptyPrefillAccount;
  return {
    beginsAt: 0.4,
    begin: async () => {
      lost = await readPrefillAccount([victim.address]);
      victim.kill();
    },
    end: nothing,
    mend: () => fleet.replaceBackend(victim.description.id),
    lostAccount: () => lost,
  };
}

/** Nothing passes the link of a prefill worker for a while; the worker itself goes on. */
function stallLink(fleet: Fleet): Fault {
  const { address } = firstBackend(fleet, 'prefill');
  const setStalled = (stallTransfers: boolean) =>
    sendJson('POST', `${address}/control`, { stallTransfers });
  return {
    beginsAt: 0.3,
    endsAt: 0.7,
    begin: () => setStalled(true),
    end: () => setStalled(false),
    mend: () => setStalled(false),
    lostAccount: () => emptyPrefillAccount,
  };
}

/** The platform refuses every call. */
function stopPlatform({ platformUrl }: Fleet): Fault {
  const setOutage = (on: boolean) => sendJson('POST', `${platformUrl}/control/outage`, { on });
  return {
    beginsAt: 0.3,
    begin: () => setOutage(true),
    end: nothing,
    mend: () => setOutage(false),
    lostAccount: () => emptyPrefillAccount,
  };
}

function firstBackend(fleet: Fleet, role: string): FleetBackend {
  const found = fleet.backends().find(({ description }) => description.role === role);
  if (found === undefined) {
    throw new Error(`the fleet has no ${role} worker`);
  }
  return found;
}
