/** Dependencies that all requests of one router process share. */
import type { OutlierDetector } from '@bluebellhitch/decisions';
import type { Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { AttemptBudget } from '../fleet/attemptBudget';
import type { BackendApi } from '../backendApi';
import type { DecodePaces } from '../servers/decodePaces';
import type { DecodePlacement } from '../servers/decodePlacement';
import type { EngineLoads } from '../servers/engineLoads';
import type { ServerPools } from '../servers/fleetShard';
import type { RunQuarantine } from '../fleet/requestQuarantine';
import type { RouterMetrics } from '../routerMetrics';
import type { ServerDirectory } from '../servers/serverDirectory';
import type { ServerPermits } from '../servers/serverLimits';
import type { ServerEnds } from '../servers/serverEnds';
import type { ServerLoads } from '../servers/serverLoads';
import type { OriginStore } from '../fleet/originStore';
import type { ServerNotices } from '../servers/serverNotices';
import type { SpeedExchange } from '../fleet/speedExchange';
import type { ServiceVersions } from '../servers/serviceVersions';
import type { StreamOrigins } from '../fleet/streamOrigins';
import type { StreamSizes } from '../servers/streamSizes';

export interface RouterDependencies {
  backend: BackendApi;
  serverEnds: Pick<ServerEnds, 'hasCrashed'>;
  directory: ServerDirectory;
  pools: ServerPools;
  /** Requests in progress at servers without engines. */
  serverLoads: ServerLoads;
  /** Permits for requests to servers that state a rate limit. */
  limits: ServerPermits;
  notices: Pick<ServerNotices, 'isAccepting' | 'allBackoffLeftMs'>;
  engineLoads: EngineLoads;
  streamSizes: StreamSizes;
  /** Speeds of the servers, learned here and by the routers of the shard. */
  speeds: Pick<SpeedExchange, 'of'>;
  placement: DecodePlacement;
  /** If absent, engines count as equally fast. */
  decodePaces?: DecodePaces;
  budget: AttemptBudget;
  health: OutlierDetector;
  /** Requests and parts of prompts that have crashed servers. */
  quarantine: RunQuarantine;
  /** Which software version has begun each stream. */
  streamOrigins: Pick<StreamOrigins, 'find' | 'noteBegan'>;
  originStore: Pick<OriginStore, 'find' | 'noteBegan' | 'noteComplete'>;
  serviceVersions: Pick<ServiceVersions, 'onlyVersion'>;
  metrics: RouterMetrics;
  logger: Logger;
  random: Random;
}
