/**
 * One router of a replay: the production components in front of engines in virtual time, with peers whose announcements
 * arrive after a delay.
 */
import { createOutlierDetector } from '@bluebellhitch/decisions';
import {
  createAttemptBudget,
  createDecodePaces,
  createDecodePlacement,
  createEngineLoads,
  createFleetShard,
  createLoadPoller,
  createRequestRouter,
  createRouterMetrics,
  noQuarantine,
  noServiceVersions,
  noOriginStore,
  noStreamOrigins,
  createRouteTable,
  createServerDirectory,
  createServerEnds,
  createServerLoads,
  createServerNotices,
  createSpeedExchange,
  createStreamSizes,
  noLimits,
  type BackendApi,
  type BackendServer,
  type Configuration,
  type EngineLoads,
  type RequestRouter,
  type SpeedChannel,
  type SpeedExchange,
} from '@bluebellhitch/routing';
import type { Random } from '@bluebellhitch/shared';
import { createDecisionRing, type Logger } from '@bluebellhitch/telemetry';
import {
  mechanisms,
  withConstantShares,
  withHintsOnly,
  withoutSpeeds,
  type Mechanism,
} from './mechanisms';

export interface ReplayRouter {
  address: string;
  serve: RequestRouter['serve'];
  loads: EngineLoads;
  speeds: SpeedExchange;
  /** The routers to which it announces its streams in progress. */
  shardPeers(): readonly string[];
  replaceServer(before: BackendServer, after: BackendServer): void;
  stop(): Promise<void>;
}

export interface ReplayRouterOptions {
  address: string;
  configuration: Configuration;
  servers: readonly BackendServer[];
  backend: BackendApi;
  /** Addresses of all routers, including this one. */
  addresses: readonly string[];
  /** Called when this router's use of an engine changes. */
  onOwnUseChange(serverId: string): void;
  /** Sends the messages about servers' speeds. */
  sendSpeeds: SpeedChannel['send'];
  absent: ReadonlySet<Mechanism>;
  random: Random;
}

const loadIntervalMs = 1_000;
/** The usual limits of the attempt budget: a fifth of the requests plus a fixed allowance. */
const attemptBudget = { ratio: 0.2, windowMs: 10_000, startedAtMs: -Infinity };
const attemptAllowance = { initial: 10, full: 10 };

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
    onOwnUseChange: options.onOwnUseChange,
    isListed: (serverId) => directory.get(serverId) !== undefined,
    tokensPerMs: streamSizes.tokensPerMs,
    lengthShape: streamSizes.lengthShape,
  });
  const loads = absent.has(mechanisms.memoryForecast)
    ? withConstantShares(forecastLoads)
    : forecastLoads;
  const learnedSpeeds = createSpeedExchange({
    channel: () => ({ address, send: options.sendSpeeds, livePeers: pools.shardPeers }),
    logger,
    random,
  });
  options.servers.forEach(({ id }) => learnedSpeeds.noteListed(id));
  const speeds = absent.has(mechanisms.learnedSpeeds)
    ? withoutSpeeds(learnedSpeeds)
    : learnedSpeeds;
  const decodePaces = absent.has(mechanisms.learnedPaces)
    ? undefined
    : createDecodePaces(speeds.of('decodePace'));
  const health = createOutlierDetector();
  health.setPoolSize(directory.size());
  const pools = createFleetShard({ directory });
  pools.setRouters(address, options.addresses);
  const table = createRouteTable(configuration);
  const router = createRequestRouter({
    backend,
    directory,
    pools,
    serverEnds: createServerEnds({ backend, directory }),
    serverLoads: createServerLoads(),
    limits: noLimits,
    notices: createServerNotices({ directory, limits: { note: () => undefined }, logger }),
    engineLoads: loads,
    streamSizes,
    speeds,
    decodePaces,
    placement: createDecodePlacement({
      ...{ backend, pools, loads, health, random },
      paces: decodePaces,
    }),
    budget: createAttemptBudget({ ...attemptBudget, allowance: () => attemptAllowance }),
    health,
    quarantine: noQuarantine,
    streamOrigins: noStreamOrigins,
    originStore: noOriginStore,
    serviceVersions: noServiceVersions,
    metrics: createRouterMetrics(),
    logger,
    ring: createDecisionRing(),
    random,
    routeTable: () => table,
    freshness: () => ({ isProved: true, isBehind: false, mayLackVersions: false }),
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
    speeds,
    shardPeers: pools.shardPeers,
    replaceServer(before, after) {
      directory.put(after);
      loads.forget(before.id);
      speeds.forget(before.id);
      speeds.noteListed(after.id);
      streamSizes.forget(before.id);
      health.forget(before.id);
    },
    stop() {
      speeds.close();
      return poller.stop();
    },
  };
}
