/** The configuration of a run: what it begins with, its changes, and when the store acknowledged each. */
import { encodeConfiguration, type StandinStore } from '@bluebellhitch/platform-standins';
import { routeKinds, type Configuration, type Route } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { serviceNames, type ServiceName } from './backendServers';
import type { Keyring } from './keyring';
import type { ConfigurationChange } from './script';

export const callersHost = 'bank.example';
/** Timings of routes, in milliseconds: a stream of the stand-ins takes a third of a second. */
const streamTimeoutMs = 4_000;
const plainTimeoutMs = 2_000;

/** What the newest configuration says of one path, and since when. */
export interface PathState {
  /** Undefined where no route leads there. */
  serviceName?: ServiceName;
  acknowledgedAtMs: number;
}

export interface ConfigurationPlan {
  baseRoutes: readonly Route[];
  /** The path that changes its service. */
  movingPrefix: string;
  change(change: ConfigurationChange): void;
  /** Writes the next version, with the keys that are in force now; returns when it was acknowledged. */
  write(): number;
  /** The same once more: the store has lost it. */
  writeAgain(): number;
  /** Paths that were changed, with what holds for each now. */
  changedPaths(): ReadonlyMap<string, PathState>;
  /** All states that the moving path has had, the oldest first. */
  moves(): readonly PathState[];
}

export function createConfigurationPlan(store: StandinStore, keyring: Keyring): ConfigurationPlan {
  const extraRoutes: Route[] = [];
  const changed = new Map<string, PathState>();
  const moves: PathState[] = [];
  let version = 0;
  let addedCount = 0;
  let movingService: ServiceName = serviceNames.counter;

  function write(): number {
    version += 1 + (version % 3);
    return writeAgain();
  }

  function writeAgain(): number {
    store.put('config', 'main', encodeConfiguration(configuration(), keyring.workspaces()));
    return monotonicNowMs();
  }

  const movingRoute = () => plainRoute('moving', routeKinds.idempotent, movingService);

  function configuration(): Configuration {
    return {
      version,
      routes: [...baseRoutes, movingRoute(), ...extraRoutes],
      services: Object.values(serviceNames).map((name) => ({
        name,
        maxConnections: 300,
        engine:
          name === serviceNames.letters
            ? { kvTokens: 50_000, reservationLimitMs: 2_000, stageSwitchMs: 100 }
            : undefined,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
  }

  function noteMove(acknowledgedAtMs: number): void {
    moves.push({ serviceName: movingService, acknowledgedAtMs });
  }

  noteMove(write());

  return {
    baseRoutes,
    movingPrefix: movingRoute().pathPrefix,
    write,
    writeAgain,
    change(change) {
      const removed = change === 'remove' ? extraRoutes.shift() : undefined;
      if (removed !== undefined) {
        changed.set(removed.pathPrefix, { acknowledgedAtMs: write() });
      } else if (change === 'move') {
        movingService =
          movingService === serviceNames.counter ? serviceNames.desk : serviceNames.counter;
        noteMove(write());
      } else {
        addedCount += 1;
        const route = plainRoute(`extra-${addedCount}`, routeKinds.idempotent, serviceNames.desk);
        extraRoutes.push(route);
        const acknowledgedAtMs = write();
        changed.set(route.pathPrefix, { serviceName: serviceNames.desk, acknowledgedAtMs });
      }
    },
    changedPaths: () => changed,
    moves: () => moves,
  };
}

/** For a probe of a path as well: whatever service the path leads to, it is a plain one. */
export function plainRoute(name: string, kind: Route['kind'], serviceName: ServiceName): Route {
  return {
    name,
    host: callersHost,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: plainTimeoutMs,
    targetLatencyMs: 200,
    targetGapMs: 0,
    priority: 2,
    maxAttempts: kind === routeKinds.idempotent ? 2 : 1,
    allowsResume: false,
    targets: [{ serviceName, weight: 1 }],
  };
}

function streamRoute(name: string, allowsResume: boolean): Route {
  return {
    name,
    host: callersHost,
    pathPrefix: `/${name}/`,
    kind: routeKinds.stream,
    timeoutMs: streamTimeoutMs,
    targetLatencyMs: 900,
    targetGapMs: 300,
    priority: 1,
    maxAttempts: allowsResume ? 2 : 1,
    allowsResume,
    targets: [{ serviceName: serviceNames.letters, weight: 1 }],
  };
}

const baseRoutes: readonly Route[] = [
  streamRoute('resumed', true),
  streamRoute('once', false),
  plainRoute('unsafe', routeKinds.nonIdempotent, serviceNames.counter),
  plainRoute('safe', routeKinds.idempotent, serviceNames.counter),
];
