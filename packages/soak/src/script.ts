/** Seeded scripts of faults and planned work. The same seed gives the same script. */
import type { RunBehaviour, StoreFault } from '@bluebellhitch/platform-standins';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import type { StreamVersion } from './serverSlots';
import { createHoldUpSteps } from './holdUpSteps';
import { createLeaverSteps } from './leaverSteps';
import type { LinkFault } from './loopbackProxy';
import { createReleaseSteps } from './releaseSteps';
import { createSilenceSteps, createSilencesScript } from './silenceSteps';

export type Operation =
  | { kind: 'kill-router'; router: number; downMs: number }
  | { kind: 'stop-router'; router: number; downMs: number }
  | { kind: 'freeze-router'; router: number; forMs: number }
  /** The process runs for `runMs` of each `periodMs`. */
  | { kind: 'starve-router'; router: number; runMs: number; periodMs: number; forMs: number }
  | { kind: 'reload-router'; router: number }
  | { kind: 'store-link'; router: number; link: LinkFault; forMs: number }
  | { kind: 'store-reset'; router: number }
  | { kind: 'store-fault'; fault: StoreFault; forMs: number }
  | { kind: 'forget-history' }
  /** The store goes down for `awayMs` and returns from a backup; lost objects are written again after `againMs`. */
  | { kind: 'restore-store'; ageMs: number; awayMs: number; againMs: number }
  | { kind: 'crash-server'; server: number; downMs: number }
  | { kind: 'replace-server'; server: number }
  /** All engines are replaced by ones of this software version, one after the other. */
  | { kind: 'release'; softwareVersion: StreamVersion; gapMs: number }
  /** As `replace-server`, but the store entry changes only after `unlistedMs`. */
  | { kind: 'leave-unlisted'; server: number; unlistedMs: number }
  /** The server leaves, announced or not, and a write of its entry from before is executed `lateMs` later. */
  | {
      kind: 'leave-late';
      server: number;
      isAnnounced: boolean;
      lateMs: number;
      lingerMs: number;
    }
  /** The entry of a server that runs on is missing for `awayMs`. */
  | { kind: 'expire-entry'; server: number; awayMs: number }
  | { kind: 'rest-server'; server: number; restMs: number; forMs: number }
  | { kind: 'server-link'; server: number; link: LinkFault; forMs: number }
  | { kind: 'server-reset'; server: number }
  | { kind: 'server-errors'; server: number; run: RunBehaviour; share: number; forMs: number }
  | { kind: 'reject-prefills'; server: number; share: number; forMs: number }
  | { kind: 'slow-server'; server: number; factor: number; forMs: number }
  /** The server takes connections and bytes and sends nothing; then it goes on with everything. */
  | { kind: 'silence-server'; server: number; forMs: number }
  | { kind: 'limit-server'; server: number; requestsPerSecond: number; forMs: number }
  | { kind: 'change-configuration'; change: ConfigurationChange }
  | { kind: 'burst'; factor: number; forMs: number };

export const configurationChanges = ['add', 'remove', 'move'] as const;
export type ConfigurationChange = (typeof configurationChanges)[number];

export interface ScriptStep {
  /** From the start of the load. */
  atMs: number;
  operation: Operation;
}

export interface ScriptOptions {
  seed: number;
  durationMs: number;
  routerCount: number;
  serverCount: number;
  /** Default: `mixed`, or `planned` for one seed in four. */
  kind?: ScriptKind;
}

/**
 * Planned work alone must not interrupt requests; scripts of kind `planned` contain nothing else. In those of kind
 * `attempts` most of what servers get fails, while routers are killed again and again: nothing else brings the further
 * attempts close to their budget. Those of kind `crashes` are mixed, with requests that crash servers, and all routers are
 * killed at one moment. Those of kind `versions` are mixed, with releases of software versions in both directions, engines
 * that crash and routers that are killed meanwhile. Those of kind `silences` hold planned work, and sound servers that fall
 * silent for a while. Those of kind `leavers` are mixed, with servers that leave and whose entries
 * return, links to the store that are cut meanwhile, and a kill of all routers.
 */
export const scriptKinds = [
  'planned',
  'mixed',
  'attempts',
  'crashes',
  'versions',
  'leavers',
  'silences',
] as const;
export type ScriptKind = (typeof scriptKinds)[number];

export interface SoakScript {
  kind: ScriptKind;
  steps: ScriptStep[];
}

/** One of this many seeds gives a script of planned work. */
const seedsPerPlannedScript = 4;
/** Few enough that some operations meet an undisturbed fleet, many enough that some overlap. */
const operationsPer10Seconds = 9;
const msPer10Seconds = 10_000;
const limitSeedOffset = 104_729;
const restoreSeedOffset = 1_299_709;
const noticeSeedOffset = 15_485_863;
const attemptSeedOffset = 32_452_843;
const slownessSeedOffset = 49_979_687;
const outageSeedOffset = 67_867_967;
/** In scripts of kind `attempts`: servers begin to fail within this time. */
const failuresStartMs = 1_000;
/** Mean time between two kills of a router: shorter than the window of the budget. */
const killIntervalMs = 2_500;
const plannedKinds = ['stop-router', 'reload-router', 'replace-server', 'change-configuration'];

export function createScript(options: ScriptOptions): SoakScript {
  const { seed, durationMs } = options;
  const random = createSeededRandom(seed);
  // Discards the first number: for nearby seeds it is nearly the same.
  random();
  const seedKind = seed % seedsPerPlannedScript === 0 ? 'planned' : 'mixed';
  const { kind = seedKind } = options;
  if (kind === 'attempts') {
    return { kind, steps: inOrder(createAttemptSteps(options)) };
  }
  if (kind === 'silences') {
    return { kind, steps: inOrder(createSilencesScript(options)) };
  }
  const count = Math.max(3, Math.round((durationMs / msPer10Seconds) * operationsPer10Seconds));
  const steps = Array.from({ length: count }, () => ({
    atMs: Math.round(random() * durationMs),
    operation: pickOperation(kind, options, random),
  }));
  const independentSteps = [
    createLimitSteps,
    createRestoreSteps,
    createNoticeSteps,
    createSlownessSteps,
    createHoldUpSteps,
    createSilenceSteps,
  ].flatMap((createSteps) => createSteps(options));
  const all = kind === 'planned' ? steps : [...steps, ...independentSteps];
  if (kind === 'crashes') {
    all.push(...createOutageSteps(options));
  }
  if (kind === 'leavers') {
    all.push(...createLeaverSteps(options), ...createOutageSteps(options));
  }
  if (kind === 'versions') {
    all.push(...createReleaseSteps(options), ...createOutageSteps(options));
  }
  return { kind, steps: inOrder(all) };
}

function inOrder(steps: readonly ScriptStep[]): ScriptStep[] {
  return [...steps].sort((left, right) => left.atMs - right.atMs);
}

function createAttemptSteps(options: ScriptOptions): ScriptStep[] {
  const { seed, durationMs, routerCount, serverCount } = options;
  const random = createSeededRandom(seed + attemptSeedOffset);
  random();
  const servers = Array.from({ length: serverCount }, (_none, server) => server);
  const failures = servers.flatMap((server): ScriptStep[] => {
    const atMs = Math.round(random() * failuresStartMs);
    const forMs = durationMs - atMs;
    const run = pick<RunBehaviour>(
      [{ kind: 'status', status: 500 }, { kind: 'rejected' }, { kind: 'reset' }],
      random,
    );
    const errors = { kind: 'server-errors' as const, server, run, share: 0.7 + random() * 0.3 };
    const rejections = { kind: 'reject-prefills' as const, server, share: random() };
    return [errors, rejections].map((failure) => ({ atMs, operation: { ...failure, forMs } }));
  });
  const routers = Array.from({ length: routerCount }, (_none, router) => router);
  const killCount = Math.round(durationMs / killIntervalMs);
  const kills = Array.from({ length: killCount }, () => Math.round(random() * durationMs)).flatMap(
    (atMs) => {
      // Either all at once, or one after the other.
      const spreadMs = random() < 0.5 ? 0 : killIntervalMs;
      return routers.map((router): ScriptStep => ({
        atMs: Math.min(durationMs, Math.round(atMs + random() * spreadMs)),
        operation: { kind: 'kill-router', router, downMs: Math.round(random() * 300) },
      }));
    },
  );
  const burst: Operation = { kind: 'burst', factor: 2 + random() * 2, forMs: 4_000 };
  return [...failures, ...kills, { atMs: Math.round(random() * durationMs), operation: burst }];
}

/** All routers are killed at one moment, in the last part of the run. */
function createOutageSteps({ seed, durationMs, routerCount }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + outageSeedOffset);
  random();
  const atMs = Math.round(durationMs * (0.4 + random() * 0.3));
  return Array.from({ length: routerCount }, (_none, router) => ({
    atMs,
    operation: { kind: 'kill-router', router, downMs: Math.round(random() * 500) },
  }));
}

/** Uses its own random generator, so that the other steps of a seed do not depend on limits. */
function createLimitSteps({ seed, durationMs, serverCount }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + limitSeedOffset);
  random();
  const count = Math.max(1, Math.round(durationMs / msPer10Seconds));
  return Array.from({ length: count }, () => ({
    atMs: Math.round(random() * durationMs),
    operation: {
      kind: 'limit-server',
      server: Math.floor(random() * serverCount),
      requestsPerSecond: Number((0.3 + random() * 3).toFixed(1)),
      forMs: Math.round(5_000 + random() * 5_000),
    },
  }));
}

/** Uses its own random generator. Half of the scripts restore the store from a backup, some of them twice. */
function createRestoreSteps({ seed, durationMs }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + restoreSeedOffset);
  random();
  const count = Math.max(0, Math.floor(random() * 4) - 1);
  return Array.from({ length: count }, () => ({
    atMs: Math.round(random() * durationMs),
    operation: {
      kind: 'restore-store',
      ageMs: Math.round(500 + random() * 9_500),
      awayMs: Math.round(random() < 0.3 ? 0 : random() * 5_000),
      againMs: Math.round(random() * 3_000),
    },
  }));
}

/** Uses its own random generator. Servers that turn slow without failing, for moments or for most of the run. */
function createSlownessSteps({ seed, durationMs, serverCount }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + slownessSeedOffset);
  random();
  const count = Math.max(1, Math.round((2 * durationMs) / msPer10Seconds));
  return Array.from({ length: count }, () => ({
    atMs: Math.round(random() * durationMs),
    operation: {
      kind: 'slow-server',
      server: Math.floor(random() * serverCount),
      factor: Number((1.5 + random() * 5.5).toFixed(1)),
      forMs: Math.round(random() < 0.5 ? 600 : random() * durationMs),
    },
  }));
}

/** Uses its own random generator. Servers that announce a backoff, and servers that leave before the store knows it. */
function createNoticeSteps({ seed, durationMs, serverCount }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + noticeSeedOffset);
  random();
  const atMs = () => Math.round(random() * durationMs);
  const server = () => Math.floor(random() * serverCount);
  const count = Math.max(1, Math.round(durationMs / msPer10Seconds));
  return Array.from({ length: count }, () => [
    {
      atMs: atMs(),
      operation: {
        kind: 'rest-server' as const,
        server: server(),
        restMs: Math.round(700 + random() * 3_300),
        forMs: Math.round(1_000 + random() * 5_000),
      },
    },
    {
      atMs: atMs(),
      operation: {
        kind: 'leave-unlisted' as const,
        server: server(),
        unlistedMs: Math.round(random() * 4_000),
      },
    },
  ]).flat();
}

function pickOperation(kind: ScriptKind, options: ScriptOptions, random: Random): Operation {
  const factories = createOperationFactories(options, random);
  const allowed = factories.filter(({ name }) => kind !== 'planned' || plannedKinds.includes(name));
  return pick(allowed, random).create();
}

function createOperationFactories(options: ScriptOptions, random: Random) {
  const router = () => Math.floor(random() * options.routerCount);
  const server = () => Math.floor(random() * options.serverCount);
  const between = (minMs: number, maxMs: number) => Math.round(minMs + random() * (maxMs - minMs));
  const link = (): LinkFault =>
    pick<LinkFault>(
      [{ kind: 'silent' }, { kind: 'one-way' }, { kind: 'delay', delayMs: between(50, 400) }],
      random,
    );
  const forMs = () => between(500, 4_000);
  const factory = <Kind extends Operation['kind']>(
    name: Kind,
    fields: () => Omit<Extract<Operation, { kind: Kind }>, 'kind'>,
  ) => ({ name: name as string, create: () => ({ kind: name, ...fields() }) as Operation });
  return [
    factory('kill-router', () => ({ router: router(), downMs: between(0, 1_500) })),
    factory('stop-router', () => ({ router: router(), downMs: between(0, 1_500) })),
    factory('freeze-router', () => ({ router: router(), forMs: between(200, 2_500) })),
    factory('reload-router', () => ({ router: router() })),
    factory('store-link', () => ({ router: router(), link: link(), forMs: forMs() })),
    factory('store-reset', () => ({ router: router() })),
    factory('store-fault', () => ({ fault: storeFault(random), forMs: forMs() })),
    factory('forget-history', () => ({})),
    factory('crash-server', () => ({ server: server(), downMs: between(200, 3_000) })),
    factory('replace-server', () => ({ server: server() })),
    factory('server-link', () => ({ server: server(), link: link(), forMs: forMs() })),
    factory('server-reset', () => ({ server: server() })),
    factory('server-errors', () => ({
      server: server(),
      run: serverError(random),
      share: 0.1 + random() * 0.4,
      forMs: forMs(),
    })),
    factory('change-configuration', () => ({ change: pick(configurationChanges, random) })),
    factory('burst', () => ({ factor: 2 + random() * 2, forMs: forMs() })),
  ];
}

function storeFault(random: Random): StoreFault {
  return pick<StoreFault>(
    [
      { kind: 'busy' },
      { kind: 'silent' },
      { kind: 'reset' },
      { kind: 'slow', delayMs: 200 },
      { kind: 'lost-writes' },
    ],
    random,
  );
}

function serverError(random: Random): RunBehaviour {
  return pick<RunBehaviour>(
    [
      { kind: 'status', status: 500 },
      { kind: 'rejected' },
      { kind: 'no-answer' },
      { kind: 'reset' },
      { kind: 'break-after', events: 3 },
      { kind: 'foreign-answer' },
      { kind: 'extra-answer' },
      { kind: 'unsealed' },
      { kind: 'hang' },
    ],
    random,
  );
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)] as Item;
}
