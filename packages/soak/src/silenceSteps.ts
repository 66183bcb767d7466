/** Steps in which sound servers fall silent and go on, of scripts of kind `silences` and of the mixed ones. */
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import type { ConfigurationChange, Operation, ScriptOptions, ScriptStep } from './script';
import { slotLayout } from './serverSlots';

const silenceSeedOffset = 141_650_939;
const silenceMs = { min: 200, max: 3_000 };
/** A server answers at least this long between two silences, so that none of them adds up to a longer one. */
const minAnsweringMs = 1_000;
/** Servers that fall silent together do so within this time. */
const spreadMs = 300;
/** Mean time between two silences in a script of kind `silences`, and in a mixed one. */
const silenceIntervalMs = { often: 900, seldom: 5_000 };
/** Planned work begins up to this long before the silence, or while it lasts. */
const plannedLeadMs = 500;
/** How many times as long as usual servers take, so that most silences meet requests in progress. */
const slowdown = { min: 2, max: 8 };

const changes: readonly ConfigurationChange[] = ['add', 'remove', 'move'];

interface Silence {
  atMs: number;
  forMs: number;
  servers: readonly number[];
}

/** Uses its own random generator. */
export function createSilenceSteps(options: ScriptOptions): ScriptStep[] {
  return stepsOf(createSilences(options, silenceIntervalMs.seldom, randomOf(options)));
}

/** Silences of one, several or all servers of a service, or of all servers, with nothing but planned work beside them. */
export function createSilencesScript(options: ScriptOptions): ScriptStep[] {
  const random = randomOf(options);
  const silences = createSilences(options, silenceIntervalMs.often, random);
  const planned = silences.flatMap((silence) => createPlannedStep(silence, options, random));
  const factor = between(slowdown.min, slowdown.max, random);
  const slow = slotLayout.map((_slot, server): ScriptStep => ({
    atMs: 0,
    operation: { kind: 'slow-server', server, factor, forMs: options.durationMs },
  }));
  return [...slow, ...stepsOf(silences), ...planned];
}

function randomOf({ seed }: ScriptOptions): Random {
  const random = createSeededRandom(seed + silenceSeedOffset);
  random();
  return random;
}

function createSilences(
  { durationMs, serverCount }: ScriptOptions,
  intervalMs: number,
  random: Random,
): Silence[] {
  const answeringFromMs = new Map<number, number>();
  const count = Math.max(1, Math.round(durationMs / intervalMs));
  const lastMs = durationMs - spreadMs;
  const times = Array.from({ length: count }, () => Math.round(random() * lastMs));
  return [...times]
    .sort((left, right) => left - right)
    .map((atMs) => {
      const forMs = between(silenceMs.min, silenceMs.max, random);
      const servers = chooseServers(serverCount, random).filter(
        (server) => (answeringFromMs.get(server) ?? 0) <= atMs,
      );
      servers.forEach((server) =>
        answeringFromMs.set(server, atMs + spreadMs + forMs + minAnsweringMs),
      );
      return { atMs, forMs, servers };
    });
}

function chooseServers(serverCount: number, random: Random): number[] {
  const all = Array.from({ length: serverCount }, (_none, server) => server);
  const { service, stage } = slotLayout[Math.floor(random() * slotLayout.length)] ?? {};
  const alike = all.filter(
    (server) => slotLayout[server]?.service === service && slotLayout[server]?.stage === stage,
  );
  const draw = random();
  if (draw < 0.15) {
    return all;
  }
  return draw < 0.5 ? alike : [...alike].sort(() => random() - 0.5).slice(0, draw < 0.75 ? 1 : 2);
}

function stepsOf(silences: readonly Silence[]): ScriptStep[] {
  return silences.flatMap(({ atMs, forMs, servers }) =>
    servers.map((server, index): ScriptStep => ({
      atMs: atMs + Math.round((index / servers.length) * spreadMs),
      operation: { kind: 'silence-server', server, forMs },
    })),
  );
}

function createPlannedStep(
  { atMs, forMs }: Silence,
  { durationMs, routerCount }: ScriptOptions,
  random: Random,
): ScriptStep[] {
  const router = Math.floor(random() * routerCount);
  const works: readonly (Operation | undefined)[] = [
    { kind: 'stop-router', router, downMs: between(0, 500, random) },
    { kind: 'reload-router', router },
    {
      kind: 'change-configuration',
      change: changes[Math.floor(random() * changes.length)] ?? 'add',
    },
    undefined,
  ];
  const operation = works[Math.floor(random() * works.length)];
  const workAtMs = atMs + between(-plannedLeadMs, forMs, random);
  return operation === undefined
    ? []
    : [{ atMs: Math.min(durationMs, Math.max(0, workAtMs)), operation }];
}

function between(minMs: number, maxMs: number, random: Random): number {
  return Math.round(minMs + random() * (maxMs - minMs));
}
