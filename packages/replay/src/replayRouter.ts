/** One router of a replay: the real parts before engines in virtual time, and peers whose news take a moment. */
import { createOutlierDetector } from '@bluebellhitch/decisions';
import {
  createAttemptBudget,
  createDecodePlacement,
  createEngineLoads,
  createFleetShard,
  createLoadPoller,
  createRequestRouter,
  createRouterMetrics,
  createRouteTable,
  createServerDirectory,
  createServerLoads,
  createServerNotices,
  createStreamSizes,
  noLimits,
  type BackendApi,
  type BackendServer,
  type Configuration,
  type EngineLoads,
  type RequestRouter,
} from '@bluebellhitch/routing';
import type { Random } from '@bluebellhitch/shared';
import { createDecisionRing, type Logger } from '@bluebellhitch/telemetry';
import { mechanisms, withHintsOnly, withPlainSums, type Mechanism } from './mechanisms';

export interface ReplayRouter {
  address: string;
  serve: RequestRouter['serve'];
  loads: EngineLoads;
  /** The routers that it tells what it has in progress. */
  companions(): readonly string[];
  replaceServer(before: BackendServer, after: BackendServer): void;
  stop(): Promise<void>;
}

export interface ReplayRouterOptions {
  address: string;
  configuration: Configuration;
  servers: readonly BackendServer[];
  backend: BackendApi;
  /** Of all routers, this one among them. */
  addresses: readonly string[];
  /** This router's use of an engine has changed. */
  onOwnChange(serverId: string): void;
  absent: ReadonlySet<Mechanism>;
  random: Random;
}

const loadIntervalMs = 1_000;
/** Usual bounds: a fifth of the requests, and some besides. */
const budget = { ratio: 0.2, allowance: 10, windowMs: 10_000 };

const logger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

export function createReplayRouter(options: ReplayRouterOptions): ReplayRouter {
  const { address, configuration, backend, absent, random } = options;
  const directory = createServerDirectory();
  directory.replaceAll(options.servers);
  const learnedSizes = createStreamSizes();
  const streamSizes = absent.has(mechanisms.learnedLengths)
    ? withHintsOnly(learnedSizes)
    : learnedSizes;
  const forecastLoads = createEngineLoads({
    onOwnUseChange: options.onOwnChange,
    isListed: (serverId) => directory.get(serverId) !== undefined,
    tokensPerMs: streamSizes.tokensPerMs,
    lengthShape: streamSizes.lengthShape,
  });
  const loads = absent.has(mechanisms.memoryForecast)
    ? withPlainSums(forecastLoads)
    : forecastLoads;
  const health = createOutlierDetector();
  health.setPoolSize(directory.size());
  const pools = createFleetShard({ directory });
  pools.setRouters(address, options.addresses);
  const table = createRouteTable(configuration);
  const router = createRequestRouter({
    backend,
    directory,
    pools,
    serverLoads: createServerLoads(),
    limits: noLimits,
    notices: createServerNotices({ directory, limits: { note: () => undefined }, logger }),
    engineLoads: loads,
    streamSizes,
    placement: createDecodePlacement({ backend, pools, loads, health, random }),
    budget: createAttemptBudget({ ...budget, allowance: () => budget.allowance }),
    health,
    metrics: createRouterMetrics(),
    logger,
    ring: createDecisionRing(),
    random,
    routeTable: () => table,
    freshness: () => ({ isProved: true, isBehind: false }),
    onStaleConfiguration: () => undefined,
    quota: { charge: () => ({ kind: 'charged', charge: { refund: () => undefined } }) },
  });
  const poller = createLoadPoller({
    backend,
    directory,
    services: () => configuration.services.map(({ name }) => name),
    pools,
    loads,
    streamSizes,
    intervalMs: loadIntervalMs,
    ownAddress: address,
    livePeers: pools.shardPeers,
    random,
  });
  if (!absent.has(mechanisms.loadReports)) {
    poller.start();
  }

  return {
    address,
    serve: router.serve,
    loads,
    companions: pools.shardPeers,
    replaceServer(before, after) {
      directory.put(after);
      loads.forget(before.id);
      streamSizes.forget(before.id);
      health.forget(before.id);
    },
    stop: () => poller.stop(),
  };
}
