/** Routes a caller's request and serves it to its final response or refusal. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { DecisionRing } from '@bluebellhitch/telemetry';
import type { CallerExchange } from '../callerApi';
import {
  notRunReasons,
  type CallerRequest,
  type Refusal,
  type Route,
  type ServiceSettings,
  type Workspace,
} from '../model';
import {
  noCharge,
  type ChargeOutcome,
  type QuotaCharge,
  type QuotaExchange,
} from '../fleet/quotaExchange';
import { createRequestIdentity, type RequestIdentity } from '../fleet/requestFingerprint';
import type { RequestGuard } from '../fleet/requestGuard';
import { chooseTarget, type RouteTable } from '../routeTable';
import { decideAccess, type ConfigurationFreshness } from '../fleet/workspaceAccess';
import { createPrefillStage } from './prefillStage';
import { servePlain } from './plainRequest';
import { createOutcomeRecorder } from './requestOutcome';
import { createRequestsInProgress } from './requestsInProgress';
import { isRepeatable, type RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';
import {
  isResumption,
  originSources,
  planResumption,
  type ResumedStream,
  type StreamPlan,
  type UnknownOrigin,
} from './streamContinuation';
import { serveStream } from './streamRequest';

export interface RequestRouter {
  /** Makes exactly one final call on the exchange. */
  serve(exchange: CallerExchange): Promise<void>;
  /** The router ends: each request gets the response that it would get at its time-out. */
  expireAll(): void;
}

export interface RequestRouterOptions extends RouterDependencies {
  /** The configuration in force; undefined until the first is known. */
  routeTable: () => RouteTable | undefined;
  /** Whether that configuration is known to be the newest. */
  freshness: () => ConfigurationFreshness;
  /** Called when a request is refused because the configuration may be stale; refreshing it now would help. */
  onStaleConfiguration(): void;
  quota: Pick<QuotaExchange, 'charge'>;
  /** Records the steps and outcomes of the latest requests. */
  ring: DecisionRing;
}

interface RoutedRequest {
  route: Route | undefined;
  plan: StreamPlan;
  workspace: Workspace | undefined;
}

type Admission = RefusedRequest | AdmittedRequest;

/** A request that is refused before any work was done for it, and what is known of it. */
interface RefusedRequest {
  kind: 'refused';
  refusal: Refusal;
  route: Route | undefined;
  workspace?: Workspace;
  /** Present if the request is refused for its content. */
  identity?: RequestIdentity;
  /** Present if it resumes a stream that may have begun at several versions. */
  unknownOrigin?: UnknownOrigin;
}

interface AdmittedRequest {
  kind: 'admitted';
  /** As backend servers receive it. */
  request: CallerRequest;
  route: Route;
  service: ServiceSettings;
  workspace: Workspace | undefined;
  identity: RequestIdentity;
  guard: RequestGuard;
  /** See `RequestState`. */
  resumedVersion: string | undefined;
  /** What was charged to the workspace's quota. */
  charge: QuotaCharge;
}

interface AdmittedResumption {
  kind: 'admitted';
  softwareVersion?: string;
}

type RefusedResumption = Pick<RefusedRequest, 'kind' | 'refusal' | 'unknownOrigin'>;

/** A starting router has its configuration within about a second. */
const startupRetryAfterMs = 500;
/** Another router may know the stream, or this one once it has met its peers. */
const unknownOriginRetryAfterMs = 1_200;

export function createRequestRouter(options: RequestRouterOptions): RequestRouter {
  const { routeTable, freshness, quarantine, logger, random } = options;
  const prefillStage = createPrefillStage(options);
  const requests = createRequestsInProgress();

  async function serve(exchange: CallerExchange): Promise<void> {
    const table = routeTable();
    if (table === undefined) {
      const reason = notRunReasons.noConfiguration;
      exchange.refuse({ kind: 'not-run', reason, retryAfterMs: startupRetryAfterMs });
      return;
    }
    const { request } = exchange;
    const route = table.match(request.host, request.target);
    const { credential } = request;
    const access = decideAccess({ table, route, credential, freshness: freshness() });
    if (access.kind === 'refused') {
      refuseAtOnce(exchange, table, { kind: 'refused', refusal: access.refusal, route });
      return;
    }
    const plan: StreamPlan =
      route !== undefined && isResumption(route, request)
        ? await planResumption(route, request, options)
        : { target: route && chooseTarget(route.targets, random()) };
    const admission = admit(request, table, { route, plan, workspace: access.workspace });
    if (admission.kind === 'refused') {
      refuseAtOnce(exchange, table, admission);
      return;
    }
    await serveAdmitted(exchange, table, admission);
  }

  function admit(
    request: CallerRequest,
    table: RouteTable,
    { route, plan: { target, resumed }, workspace }: RoutedRequest,
  ): Admission {
    const service = target === undefined ? undefined : table.service(target.serviceName);
    if (route === undefined || service === undefined) {
      return { kind: 'refused', refusal: { kind: 'no-route' }, route };
    }
    const resumption = admitResumption(service.name, resumed);
    if (resumption.kind === 'refused') {
      return { ...resumption, route, workspace };
    }
    const forwarded = requestForServer(request, table, workspace);
    const identity = createRequestIdentity(forwarded);
    const guard = quarantine.guard(identity);
    const retryAfterMs = guard.heldBackMs();
    if (retryAfterMs !== undefined) {
      const refusal: Refusal = { kind: 'not-run', reason: notRunReasons.quarantined, retryAfterMs };
      return { kind: 'refused', refusal, route, workspace, identity };
    }
    const charged = chargeQuota(workspace, request);
    if (charged.kind === 'limited') {
      const refusal: Refusal = { kind: 'over-quota', retryAfterMs: charged.retryAfterMs };
      return { kind: 'refused', refusal, route, workspace };
    }
    const { softwareVersion: resumedVersion } = resumption;
    const { charge } = charged;
    return {
      ...{ kind: 'admitted', request: forwarded, route, service, workspace },
      ...{ identity, guard, resumedVersion, charge },
    };
  }

  function admitResumption(
    serviceName: string,
    resumed: ResumedStream | undefined,
  ): AdmittedResumption | RefusedResumption {
    if (resumed === undefined) {
      return { kind: 'admitted' };
    }
    options.metrics.countResumedStream(serviceName, resumed.source);
    if (resumed.source !== originSources.unknown) {
      return { kind: 'admitted', softwareVersion: resumed.softwareVersion };
    }
    const reason = notRunReasons.unknownOrigin;
    const retryAfterMs = unknownOriginRetryAfterMs;
    const refusal: Refusal = { kind: 'not-run', reason, retryAfterMs };
    return { kind: 'refused', refusal, unknownOrigin: resumed };
  }

  async function serveAdmitted(
    exchange: CallerExchange,
    table: RouteTable,
    {
      request,
      route,
      service,
      workspace,
      identity,
      guard,
      resumedVersion,
      charge,
    }: AdmittedRequest,
  ): Promise<void> {
    const forwardedExchange = { ...exchange, request };
    const labels = { route, service: service.name, workspace };
    const recorder = createOutcomeRecorder(forwardedExchange, labels, options);
    const { state, end } = requests.start({
      exchange: recorder.exchange,
      route,
      service,
      priority: workspace?.priority,
      isAccessGranted: () => isAccessGranted(route, request, workspace),
      mayRepeat: () => isRepeatable(route) && isRepeatable(currentRoute(request) ?? route),
      identity,
      heldBackMs: guard.heldBackMs,
      resumedVersion,
    });
    options.budget.recordRequest(service.name, monotonicNowMs());
    try {
      await serveRoute(state);
    } finally {
      end();
      if (recorder.hasNotRun() || state.sentCount === 0) {
        charge.refund();
      }
      recorder.report(state, table.configuration.version);
    }
  }

  function chargeQuota(workspace: Workspace | undefined, request: CallerRequest): ChargeOutcome {
    return workspace === undefined
      ? { kind: 'charged', charge: noCharge }
      : options.quota.charge(workspace, request);
  }

  function currentRoute({ host, target }: CallerRequest): Route | undefined {
    return routeTable()?.match(host, target);
  }

  function isAccessGranted(
    route: Route,
    { credential }: CallerRequest,
    workspace: Workspace | undefined,
  ): boolean {
    const table = routeTable();
    if (table === undefined) {
      return false;
    }
    const access = decideAccess({ table, route, credential, freshness: freshness() });
    return access.kind === 'granted' && access.workspace?.name === workspace?.name;
  }

  function refuseAtOnce(
    exchange: CallerExchange,
    { configuration }: RouteTable,
    { refusal, route, workspace, identity, unknownOrigin }: RefusedRequest,
  ): void {
    const cause = refusalCause(refusal);
    if (cause === notRunReasons.staleConfiguration) {
      options.onStaleConfiguration();
    }
    options.metrics.countRefusedAtOnce(cause, workspace?.name);
    logger.info('request refused', {
      requestId: exchange.request.id,
      cause,
      route: route?.name,
      workspace: workspace?.name,
      fingerprint: identity?.fingerprint(),
      sharedParts: identity && exchange.request.sharedParts,
      resumes: exchange.request.resumedRequestId,
      unknownVersionReason: unknownOrigin?.reason,
      storedOrigin: unknownOrigin?.stored,
      configurationVersion: configuration.version,
    });
    exchange.refuse(refusal);
  }

  function serveRoute(state: RequestState): Promise<void> {
    const { engine } = state.service;
    if (engine === undefined) {
      return servePlain(state, options);
    }
    return serveStream(state, engine, options, prefillStage);
  }

  return { serve, expireAll: requests.expireAll };
}

/** Replaces the caller's credentials by the workspace's name: servers never receive the API key. */
function requestForServer(
  request: CallerRequest,
  { configuration }: RouteTable,
  workspace: Workspace | undefined,
): CallerRequest {
  return configuration.workspaces === undefined
    ? request
    : { ...request, credentialHeaders: [], workspaceName: workspace?.name };
}

function refusalCause(refusal: Refusal): string {
  return refusal.kind === 'not-run' ? refusal.reason : refusal.kind;
}
