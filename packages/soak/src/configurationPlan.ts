/** The configuration of a run: its initial state, its changes, and when the store acknowledged each. */
import { encodeConfiguration, type StandinStore } from '@bluebellhitch/platform-standins';
import { routeKinds, type Configuration, type Route } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { serviceNames, type ServiceName } from './serverSlots';
import type { Keyring } from './keyring';
import type { ConfigurationChange } from './script';

export const callersHost = 'bank.example';
/** Time-outs of routes; a stream of the stand-in workers takes about 300 ms. */
const streamTimeoutMs = 4_000;
const plainTimeoutMs = 2_000;

/** Limits of callers' connections in the configuration. */
export const callerLimits: Configuration['limits'] = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** The target of one path in the newest configuration, and since when. */
export interface PathState {
  /** Undefined if no route matches the path. */
  serviceName?: ServiceName;
  acknowledgedAtMs: number;
}

export interface ConfigurationPlan {
  baseRoutes: readonly Route[];
  /** The path whose service changes. */
  movingPrefix: string;
  change(change: ConfigurationChange): void;
  /** Writes the next version with the currently valid keys; returns the time of the acknowledgement. */
  write(): number;
  /** Writes the current version again after the store has lost it; returns the time of the acknowledgement. */
  rewrite(): number;
  /** Paths that were added or removed, each with its current state. */
  changedPaths(): ReadonlyMap<string, PathState>;
  /** When the store acknowledged changes of the routes; keys change besides. */
  changesMs(): readonly number[];
  /** All states of the moving path, oldest first. */
  moves(): readonly PathState[];
}

export function createConfigurationPlan(
  store: StandinStore,
  keyring: Keyring,
  /** How many times as long as usual requests of base routes may take. */
  timeoutFactor = 1,
): ConfigurationPlan {
  const routes = baseRoutes.map((route) => ({
    ...route,
    timeoutMs: route.timeoutMs * timeoutFactor,
  }));
  const changesMs: number[] = [];
  const extraRoutes: Route[] = [];
  const changed = new Map<string, PathState>();
  const moves: PathState[] = [];
  let version = 0;
  let addedCount = 0;
  let movingService: ServiceName = serviceNames.counter;

  function write(): number {
    version += 1 + (version % 3);
    return rewrite();
  }

  function rewrite(): number {
    store.put('config', 'main', encodeConfiguration(configuration(), keyring.workspaces()));
    return monotonicNowMs();
  }

  const movingRoute = () => plainRoute('moving', routeKinds.idempotent, movingService);

  function configuration(): Configuration {
    return {
      version,
      routes: [...routes, movingRoute(), ...extraRoutes],
      services: Object.values(serviceNames).map((name) => ({
        name,
        maxConnections: 300,
        engine:
          name === serviceNames.letters
            ? { kvTokens: 50_000, reservationLimitMs: 2_000, stageSwitchMs: 100 }
            : undefined,
      })),
      limits: callerLimits,
    };
  }

  function recordMove(acknowledgedAtMs: number): void {
    moves.push({ serviceName: movingService, acknowledgedAtMs });
  }

  recordMove(write());

  return {
    baseRoutes: routes,
    movingPrefix: movingRoute().pathPrefix,
    write,
    rewrite,
    change(change) {
      changesMs.push(monotonicNowMs());
      const removed = change === 'remove' ? extraRoutes.shift() : undefined;
      if (removed !== undefined) {
        changed.set(removed.pathPrefix, { acknowledgedAtMs: write() });
      } else if (change === 'move') {
        movingService =
          movingService === serviceNames.counter ? serviceNames.desk : serviceNames.counter;
        recordMove(write());
      } else {
        addedCount += 1;
        const route = plainRoute(`extra-${addedCount}`, routeKinds.idempotent, serviceNames.desk);
        extraRoutes.push(route);
        const acknowledgedAtMs = write();
        changed.set(route.pathPrefix, { serviceName: serviceNames.desk, acknowledgedAtMs });
      }
    },
    changesMs: () => changesMs,
    changedPaths: () => changed,
    moves: () => moves,
  };
}

/** A route to a plain service; probes of a path use it too, since every probed path leads to a plain service. */
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

export function streamRoute(name: string, allowsResume: boolean, priority: number): Route {
  return {
    name,
    host: callersHost,
    pathPrefix: `/${name}/`,
    kind: routeKinds.stream,
    timeoutMs: streamTimeoutMs,
    targetLatencyMs: 900,
    targetGapMs: 300,
    priority,
    maxAttempts: allowsResume ? 2 : 1,
    allowsResume,
    targets: [{ serviceName: serviceNames.letters, weight: 1 }],
  };
}

const baseRoutes: readonly Route[] = [
  streamRoute('resumed', true, 1),
  streamRoute('once', false, 0),
  plainRoute('unsafe', routeKinds.nonIdempotent, serviceNames.counter),
  plainRoute('safe', routeKinds.idempotent, serviceNames.counter),
];
