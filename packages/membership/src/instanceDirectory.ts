/**
 * The instances as this process sees them: the platform's list, which lags, corrected by what was
 * learned first hand. A stale view costs latency, never correctness.
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
  /** Usual pause between looks at the list; each is a read of the platform. */
  refreshMs?: number;
  /** Pause while the list names no entry: there is no relay yet to bring configuration. */
  searchMs?: number;
  /** A list taken from a relay may be this old before the platform is read again. */
  relayedListMaxAgeMs?: number;
  /** How long a refusal as leaving outlives a list that still says live. */
  leavingHoldMs?: number;
  /** How long an instance found down gets no work, unless the list tells of a new address. */
  downHoldMs?: number;
  random?: Random;
}

export interface InstanceDirectory {
  /** Live agents of a service: neither leaving nor found down. */
  agents(service: string): readonly PlatformInstance[];
  /** Live entries. */
  entries(): readonly PlatformInstance[];
  /** Every listed instance with its corrected state, also those found down. */
  all(): readonly PlatformInstance[];
  /** The instance itself said that it is leaving. */
  markLeaving(id: string): void;
  /** The instance does not answer. */
  markDown(id: string): void;
  /** Calls back after each change of the view, until the returned function is called. */
  onChange(listener: () => void): () => void;
  /** Looks at the list now; `false` where the platform did not answer and the last view stays. */
  refresh(): Promise<boolean>;
  /** Looks only where no relay has brought a list lately. */
  refreshIfNeeded(): Promise<void>;
  /** The platform's list as it was read, for others; `undefined` before the first one. */
  listing(scope: ListScope): InstanceListing | undefined;
  /** Takes another process's list where it was read from the platform later than the own one. */
  offer(news: InstanceListUpdate, scope: ListScope): void;
  /** Age of the list, or `undefined` before the first one. */
  viewAgeMs(): number | undefined;
  start(): void;
  stop(): Promise<void>;
}

/** Agents need to know the entries only. */
export type ListScope = 'all' | 'entries';

export type InstanceListing = InstanceListState & { instances: PlatformInstance[] };

interface Correction {
  kind: 'leaving' | 'down';
  /** A process that came back under the same id listens elsewhere, which ends the correction. */
  innerAddress: string;
  untilMs: number;
}

interface View {
  all: PlatformInstance[];
  entries: PlatformInstance[];
  agentsOfService: Map<string, PlatformInstance[]>;
  /** When the first correction ends and the view must be built anew. */
  validUntilMs: number;
}

const defaults = {
  refreshMs: 5000,
  searchMs: 1000,
  // Above the longest wait of a feed poll: a quiet relay is no reason to read the platform.
  relayedListMaxAgeMs: 40_000,
  leavingHoldMs: 60_000,
  downHoldMs: 5000,
} as const;
const jitterShare = 0.5;

export function createInstanceDirectory(options: InstanceDirectoryOptions): InstanceDirectory {
  const { platform, refreshMs, searchMs, relayedListMaxAgeMs, leavingHoldMs, downHoldMs } = {
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

  function correct(id: string, kind: Correction['kind'], holdMs: number): void {
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
    const answer = await platform.instances();
    if (answer.isErr()) {
      return false;
    }
    isRelayed = false;
    takeList(answer.value, monotonicNowMs());
    return true;
  }

  async function refreshIfNeeded(): Promise<void> {
    const ageMs = viewAgeMs();
    if (!isRelayed || ageMs === undefined || ageMs > relayedListMaxAgeMs) {
      await refresh();
    }
  }

  function takeList(instances: PlatformInstance[], readAtMs: number): void {
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

  /** Relays read at different times: an older list after a younger one would bring back the dead. */
  function offer({ digest, ageMs, instances }: InstanceListUpdate, scope: ListScope): void {
    const readAtMs = monotonicNowMs() - ageMs;
    if (listedAtMs !== undefined && readAtMs <= listedAtMs) {
      return;
    }
    if (digest === listing(scope)?.digest) {
      listedAtMs = readAtMs;
      isRelayed = true;
    } else if (instances !== undefined) {
      isRelayed = true;
      takeList(instances, readAtMs);
      listings.set(scope, { digest, instances });
    }
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await refreshIfNeeded();
      const pauseMs = currentView().entries.length === 0 ? searchMs : refreshMs;
      await delay(pauseMs * (1 - jitterShare / 2 + random() * jitterShare), signal);
    }
  }

  return {
    agents: (service) => currentView().agentsOfService.get(service) ?? [],
    entries: () => currentView().entries,
    all: () => currentView().all,
    markLeaving: (id) => correct(id, 'leaving', leavingHoldMs),
    markDown: (id) => correct(id, 'down', downHoldMs),
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    refresh,
    refreshIfNeeded,
    listing,
    offer,
    viewAgeMs,
    ...createBackgroundLoop(run),
  };
}

/** A list that says leaving has caught up: what it says live after that is a new process. */
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
