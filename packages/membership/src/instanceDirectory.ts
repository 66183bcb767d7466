/**
 * This process's view of the instances: the platform's list, which lags, corrected by what the process has observed
 * itself. A stale view costs latency, never correctness.
 */
import type { PlatformApi, PlatformInstance } from '@bluebellhitch/objects';
import type { InstanceListUpdate, InstanceListState } from '@bluebellhitch/protocol';
import {
  createBackgroundLoop,
  delay,
  hash64Hex,
  monotonicNowMs,
  type Random,
} from '@bluebellhitch/shared';

export interface InstanceDirectoryOptions {
  platform: PlatformApi;
  /** Usual pause between refreshes; each is a read of the platform unless a relay has brought a list. */
  refreshMs?: number;
  /** Pause between refreshes while the list contains no entry and so no relay to get the configuration from. */
  discoveryMs?: number;
  /** Age of a list from a relay above which the platform is read again. */
  relayedListMaxAgeMs?: number;
  /** How long an instance that said it is leaving counts as such while the list still has it as live. */
  leavingHoldMs?: number;
  /** How long an unresponsive instance gets no work, unless the list shows a new address for it. */
  downHoldMs?: number;
  random?: Random;
}

export interface InstanceDirectory {
  /** Live agents of a service: neither leaving nor marked as down. */
  agents(service: string): readonly PlatformInstance[];
  /** Live entries. */
  entries(): readonly PlatformInstance[];
  /** Every listed instance with its corrected state, including those marked as down. */
  all(): readonly PlatformInstance[];
  /** Records that the instance itself said it is leaving. */
  markLeaving(id: string): void;
  /** Records that the instance does not respond. */
  markDown(id: string): void;
  /** Calls `listener` after each change of the view, until the returned function is called. */
  onChange(listener: () => void): () => void;
  /** Reads the platform's list; `false` if the platform did not respond, so that the last view remains. */
  refresh(): Promise<boolean>;
  /** Refreshes unless a relay has brought a list recently. */
  refreshIfNeeded(): Promise<void>;
  /** The platform's list without corrections, for other processes; `undefined` before the first one. */
  listing(scope: ListScope): InstanceListing | undefined;
  /** Applies another process's list if it was read from the platform later than the current one. */
  applyUpdate(update: InstanceListUpdate, scope: ListScope): void;
  /** Age of the list, or `undefined` before the first one. */
  viewAgeMs(): number | undefined;
  start(): void;
  stop(): Promise<void>;
}

/** Agents need only the entries. */
export type ListScope = 'all' | 'entries';

export type InstanceListing = InstanceListState & { instances: PlatformInstance[] };

interface Correction {
  kind: 'leaving' | 'down';
  /** A process restarted under the same id has another address, which ends the correction. */
  innerAddress: string;
  untilMs: number;
}

interface View {
  all: PlatformInstance[];
  entries: PlatformInstance[];
  agentsOfService: Map<string, PlatformInstance[]>;
  /** When the first correction expires and the view must be rebuilt. */
  validUntilMs: number;
}

const defaults = {
  refreshMs: 5000,
  discoveryMs: 1000,
  // Above the longest wait of a feed poll, so that a relay without changes does not cause reads of the platform.
  relayedListMaxAgeMs: 40_000,
  leavingHoldMs: 60_000,
  downHoldMs: 5000,
} as const;
const jitterShare = 0.5;

export function createInstanceDirectory(options: InstanceDirectoryOptions): InstanceDirectory {
  const { platform, refreshMs, discoveryMs, relayedListMaxAgeMs, leavingHoldMs, downHoldMs } = {
    ...defaults,
    ...options,
  };
  const { random = Math.random } = options;
  const corrections = new Map<string, Correction>();
  const listeners = new Set<() => void>();
  let listed: PlatformInstance[] = [];
  let listedAtMs: number | undefined;
  let isRelayed = false;
  let listings = new Map<ListScope, Omit<InstanceListing, 'ageMs'>>();
  let view = buildView(listed, corrections);

  function currentView(): View {
    if (monotonicNowMs() >= view.validUntilMs) {
      rebuild();
    }
    return view;
  }

  function rebuild(): void {
    dropEndedCorrections();
    const before = view.all;
    view = buildView(listed, corrections);
    if (!isSameView(before, view.all)) {
      [...listeners].forEach((listener) => listener());
    }
  }

  function dropEndedCorrections(): void {
    const nowMs = monotonicNowMs();
    const byId = new Map(listed.map((instance) => [instance.id, instance]));
    [...corrections]
      .filter(([id, correction]) => hasEnded(correction, byId.get(id), nowMs))
      .forEach(([id]) => corrections.delete(id));
  }

  function addCorrection(id: string, kind: Correction['kind'], holdMs: number): void {
    const instance = listed.find((candidate) => candidate.id === id);
    const isLeaving = corrections.get(id)?.kind === 'leaving';
    if (instance === undefined || (kind === 'down' && isLeaving)) {
      return;
    }
    const { innerAddress } = instance;
    corrections.set(id, { kind, innerAddress, untilMs: monotonicNowMs() + holdMs });
    rebuild();
  }

  async function refresh(): Promise<boolean> {
    const reply = await platform.instances();
    if (reply.isErr()) {
      return false;
    }
    isRelayed = false;
    replaceList(reply.value, monotonicNowMs());
    return true;
  }

  async function refreshIfNeeded(): Promise<void> {
    const ageMs = viewAgeMs();
    if (!isRelayed || ageMs === undefined || ageMs > relayedListMaxAgeMs) {
      await refresh();
    }
  }

  function replaceList(instances: PlatformInstance[], readAtMs: number): void {
    listed = instances;
    listedAtMs = readAtMs;
    listings = new Map();
    rebuild();
  }

  function viewAgeMs(): number | undefined {
    return listedAtMs === undefined ? undefined : monotonicNowMs() - listedAtMs;
  }

  function listing(scope: ListScope): InstanceListing | undefined {
    const ageMs = viewAgeMs();
    if (ageMs === undefined) {
      return undefined;
    }
    const known = listings.get(scope) ?? buildListing(listed, scope);
    listings.set(scope, known);
    return { ...known, ageMs };
  }

  /** Relays read the list at different times; an older list applied last would bring back removed instances. */
  function applyUpdate({ digest, ageMs, instances }: InstanceListUpdate, scope: ListScope): void {
    const readAtMs = monotonicNowMs() - ageMs;
    if (listedAtMs !== undefined && readAtMs <= listedAtMs) {
      return;
    }
    if (digest === listing(scope)?.digest) {
      listedAtMs = readAtMs;
      isRelayed = true;
    } else if (instances !== undefined) {
      isRelayed = true;
      replaceList(instances, readAtMs);
      listings.set(scope, { digest, instances });
    }
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await refreshIfNeeded();
      const pauseMs = currentView().entries.length === 0 ? discoveryMs : refreshMs;
      await delay(pauseMs * (1 - jitterShare / 2 + random() * jitterShare), signal);
    }
  }

  return {
    agents: (service) => currentView().agentsOfService.get(service) ?? [],
    entries: () => currentView().entries,
    all: () => currentView().all,
    markLeaving: (id) => addCorrection(id, 'leaving', leavingHoldMs),
    markDown: (id) => addCorrection(id, 'down', downHoldMs),
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    refresh,
    refreshIfNeeded,
    listing,
    applyUpdate,
    viewAgeMs,
    ...createBackgroundLoop(run),
  };
}

/** Once the list says leaving, it has caught up: an instance that it then shows as live is a new process. */
function hasEnded(
  { kind, innerAddress, untilMs }: Correction,
  listed: PlatformInstance | undefined,
  nowMs: number,
): boolean {
  const isConfirmed = kind === 'leaving' && listed?.state === 'leaving';
  return untilMs <= nowMs || isConfirmed || listed?.innerAddress !== innerAddress;
}

function buildView(
  listed: readonly PlatformInstance[],
  corrections: ReadonlyMap<string, Correction>,
): View {
  const all = listed.map((instance): PlatformInstance => {
    const isLeaving = corrections.get(instance.id)?.kind === 'leaving';
    return isLeaving ? { ...instance, state: 'leaving' } : instance;
  });
  const usable = all.filter(
    ({ id, state }) => state === 'live' && corrections.get(id)?.kind !== 'down',
  );
  const agentsOfService = new Map<string, PlatformInstance[]>();
  usable
    .filter(({ kind }) => kind === 'agent')
    .forEach((agent) => {
      const service = agent.service ?? '';
      agentsOfService.set(service, [...(agentsOfService.get(service) ?? []), agent]);
    });
  return {
    all,
    entries: usable.filter(({ kind }) => kind === 'entry'),
    agentsOfService,
    validUntilMs: Math.min(Infinity, ...[...corrections.values()].map(({ untilMs }) => untilMs)),
  };
}

function buildListing(
  listed: readonly PlatformInstance[],
  scope: ListScope,
): Omit<InstanceListing, 'ageMs'> {
  const instances = listed
    .filter(({ kind }) => scope === 'all' || kind === 'entry')
    .sort((left, right) => (left.id < right.id ? -1 : 1));
  return { digest: hash64Hex(JSON.stringify(instances)), instances };
}

function isSameView(before: readonly PlatformInstance[], after: readonly PlatformInstance[]) {
  return JSON.stringify(before) === JSON.stringify(after);
}
