/** Seeded scripts: which fault or planned work strikes what, and when. The same seed makes the same script. */
import type { RunBehaviour, StoreFault } from '@bluebellhitch/platform-standins';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import type { LinkFault } from './loopbackProxy';

export type Operation =
  | { kind: 'kill-router'; router: number; downMs: number }
  | { kind: 'stop-router'; router: number; downMs: number }
  | { kind: 'freeze-router'; router: number; forMs: number }
  | { kind: 'reload-router'; router: number }
  | { kind: 'store-link'; router: number; link: LinkFault; forMs: number }
  | { kind: 'store-reset'; router: number }
  | { kind: 'store-fault'; fault: StoreFault; forMs: number }
  | { kind: 'forget-history' }
  /** The store is away for a moment and comes back as it was; what it has lost is written again later. */
  | { kind: 'restore-store'; ageMs: number; awayMs: number; againMs: number }
  | { kind: 'crash-server'; server: number; downMs: number }
  | { kind: 'replace-server'; server: number }
  /** As before, but the store hears of it only after a while. */
  | { kind: 'leave-unlisted'; server: number; unlistedMs: number }
  | { kind: 'rest-server'; server: number; restMs: number; forMs: number }
  | { kind: 'server-link'; server: number; link: LinkFault; forMs: number }
  | { kind: 'server-reset'; server: number }
  | { kind: 'server-errors'; server: number; run: RunBehaviour; share: number; forMs: number }
  | { kind: 'limit-server'; server: number; requestsPerSecond: number; forMs: number }
  | { kind: 'change-configuration'; change: ConfigurationChange }
  | { kind: 'burst'; factor: number; forMs: number };

export const configurationChanges = ['add', 'remove', 'move'] as const;
export type ConfigurationChange = (typeof configurationChanges)[number];

export interface ScriptStep {
  /** From the start of the traffic. */
  atMs: number;
  operation: Operation;
}

export interface ScriptOptions {
  seed: number;
  durationMs: number;
  routerCount: number;
  serverCount: number;
}

/** Planned work alone must cut nothing: some scripts hold nothing else. */
export type ScriptKind = 'planned' | 'mixed';

export interface SoakScript {
  kind: ScriptKind;
  steps: ScriptStep[];
}

/** One seed in this many. */
const plannedEvery = 4;
/** Operations in ten seconds: few enough that some meet a calm fleet, many enough that some overlap. */
const operationsPer10Seconds = 9;
const msPer10Seconds = 10_000;
const limitSeedOffset = 104_729;
const copySeedOffset = 1_299_709;
const wordSeedOffset = 15_485_863;
const plannedKinds = ['stop-router', 'reload-router', 'replace-server', 'change-configuration'];

export function createScript(options: ScriptOptions): SoakScript {
  const { seed, durationMs } = options;
  const random = createSeededRandom(seed);
  // The first numbers of near seeds are alike.
  random();
  const kind = seed % plannedEvery === 0 ? 'planned' : 'mixed';
  const count = Math.max(3, Math.round((durationMs / msPer10Seconds) * operationsPer10Seconds));
  const steps = Array.from({ length: count }, () => ({
    atMs: Math.round(random() * durationMs),
    operation: pickOperation(kind, options, random),
  }));
  const apart = [limitSteps, copySteps, wordSteps].flatMap((stepsOf) => stepsOf(options));
  const all = kind === 'mixed' ? [...steps, ...apart] : steps;
  return { kind, steps: all.sort((left, right) => left.atMs - right.atMs) };
}

/** Drawn apart, so that the rest of a seed's script is as it was before servers named limits. */
function limitSteps({ seed, durationMs, serverCount }: ScriptOptions): ScriptStep[] {
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

/** Drawn apart as well: in one script of two the store comes back from an older copy, in some of them twice. */
function copySteps({ seed, durationMs }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + copySeedOffset);
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

/** Drawn apart too: servers that want rest, and servers that leave with the store late to hear of it. */
function wordSteps({ seed, durationMs, serverCount }: ScriptOptions): ScriptStep[] {
  const random = createSeededRandom(seed + wordSeedOffset);
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
  const makers = operationMakers(options, random);
  const fitting = makers.filter(({ name }) => kind === 'mixed' || plannedKinds.includes(name));
  return pick(fitting, random).make();
}

function operationMakers(options: ScriptOptions, random: Random) {
  const router = () => Math.floor(random() * options.routerCount);
  const server = () => Math.floor(random() * options.serverCount);
  const between = (leastMs: number, mostMs: number) =>
    Math.round(leastMs + random() * (mostMs - leastMs));
  const link = (): LinkFault =>
    pick<LinkFault>(
      [{ kind: 'silent' }, { kind: 'one-way' }, { kind: 'delay', delayMs: between(50, 400) }],
      random,
    );
  const forMs = () => between(500, 4_000);
  const maker = <Kind extends Operation['kind']>(
    name: Kind,
    fields: () => Omit<Extract<Operation, { kind: Kind }>, 'kind'>,
  ) => ({ name: name as string, make: () => ({ kind: name, ...fields() }) as Operation });
  return [
    maker('kill-router', () => ({ router: router(), downMs: between(0, 1_500) })),
    maker('stop-router', () => ({ router: router(), downMs: between(0, 1_500) })),
    maker('freeze-router', () => ({ router: router(), forMs: between(200, 2_500) })),
    maker('reload-router', () => ({ router: router() })),
    maker('store-link', () => ({ router: router(), link: link(), forMs: forMs() })),
    maker('store-reset', () => ({ router: router() })),
    maker('store-fault', () => ({ fault: storeFault(random), forMs: forMs() })),
    maker('forget-history', () => ({})),
    maker('crash-server', () => ({ server: server(), downMs: between(200, 3_000) })),
    maker('replace-server', () => ({ server: server() })),
    maker('server-link', () => ({ server: server(), link: link(), forMs: forMs() })),
    maker('server-reset', () => ({ server: server() })),
    maker('server-errors', () => ({
      server: server(),
      run: serverError(random),
      share: 0.1 + random() * 0.4,
      forMs: forMs(),
    })),
    maker('change-configuration', () => ({ change: pick(configurationChanges, random) })),
    maker('burst', () => ({ factor: 2 + random() * 2, forMs: forMs() })),
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
