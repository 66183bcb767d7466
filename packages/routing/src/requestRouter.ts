/** Routes a caller's request, serves it to its final response or refusal, and records its outcome in one log line. */
import { lateCause } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { DecisionRing } from '@bluebellhitch/telemetry';
import type { ResponseWriter, CallerExchange, CompleteResponse } from './callerApi';
import {
  notRunReasons,
  routeKinds,
  type CallerRequest,
  type Refusal,
  type Route,
  type Workspace,
} from './model';
import { noCharge, type ChargeOutcome, type QuotaExchange } from './quotaExchange';
import { createPrefillStage } from './prefillStage';
import { createLazyFingerprint } from './requestFingerprint';
import { servePlain } from './plainRequest';
import { createRequestState, type RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';
import { chooseTarget, type RouteTable } from './routeTable';
import type { RelayPauses } from './streamRelay';
import { serveStream } from './streamRequest';
import { decideAccess, type ConfigurationFreshness } from './workspaceAccess';

export interface RequestRouter {
  /** Makes exactly one final call on the exchange. */
  serve(exchange: CallerExchange): Promise<void>;
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

/** What is known of a request that is refused before any work was done for it. */
interface RefusedRequest {
  route: Route | undefined;
  workspace?: Workspace;
  /** Present if the request is refused for its content. */
  fingerprint?: () => string;
}

/** A starting router has its configuration within about a second. */
const startupRetryAfterMs = 500;

export function createRequestRouter(options: RequestRouterOptions): RequestRouter {
  const { routeTable, freshness, quarantine, logger, random } = options;
  const prefillStage = createPrefillStage(options);

  async function serve(exchange: CallerExchange): Promise<void> {
    const { request } = exchange;
    const table = routeTable();
    if (table === undefined) {
      const reason = notRunReasons.noConfiguration;
      exchange.refuse({ kind: 'not-run', reason, retryAfterMs: startupRetryAfterMs });
      return;
    }
    const route = table.match(request.host, request.target);
    const { credential } = request;
    const access = decideAccess({ table, route, credential, freshness: freshness() });
    if (access.kind === 'refused') {
      refuseAtOnce(exchange, access.refusal, table, { route });
      return;
    }
    const target = route === undefined ? undefined : chooseTarget(route.targets, random());
    const service = target === undefined ? undefined : table.service(target.serviceName);
    if (route === undefined || service === undefined) {
      refuseAtOnce(exchange, { kind: 'no-route' }, table, { route });
      return;
    }
    const { workspace } = access;
    const forwarded = requestForServer(request, table, workspace);
    const fingerprint = createLazyFingerprint(forwarded);
    const heldBackMs = () => quarantine.heldBackMs(fingerprint);
    const retryAfterMs = heldBackMs();
    if (retryAfterMs !== undefined) {
      const refusal: Refusal = { kind: 'not-run', reason: notRunReasons.quarantined, retryAfterMs };
      refuseAtOnce(exchange, refusal, table, { route, workspace, fingerprint });
      return;
    }
    const charged = chargeQuota(workspace, request);
    if (charged.kind === 'limited') {
      const refusal: Refusal = { kind: 'over-quota', retryAfterMs: charged.retryAfterMs };
      refuseAtOnce(exchange, refusal, table, { route, workspace });
      return;
    }
    const forwardedExchange = { ...exchange, request: forwarded };
    const recorded = recordOutcome(
      forwardedExchange,
      { route, service: service.name, workspace },
      options,
    );
    const { state, end } = createRequestState({
      exchange: recorded.exchange,
      route,
      service,
      priority: workspace?.priority,
      isAccessGranted: () => isAccessGranted(route, request, workspace),
      fingerprint,
      heldBackMs,
    });
    options.budget.recordRequest(service.name, monotonicNowMs());
    try {
      await serveRoute(state);
    } finally {
      end();
      if (recorded.hasNotRun() || state.sentCount === 0) {
        charged.charge.refund();
      }
      recorded.report(state, table.configuration.version);
    }
  }

  function chargeQuota(workspace: Workspace | undefined, request: CallerRequest): ChargeOutcome {
    return workspace === undefined
      ? { kind: 'charged', charge: noCharge }
      : options.quota.charge(workspace, request);
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
    refusal: Refusal,
    { configuration }: RouteTable,
    { route, workspace, fingerprint }: RefusedRequest,
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
      fingerprint: fingerprint?.(),
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

  return { serve };
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

function pauseFields(pauses: RelayPauses | undefined): Record<string, unknown> {
  const { longest, medianMs } = pauses ?? {};
  return longest === undefined
    ? {}
    : {
        pauseMs: Math.round(longest.durationMs),
        pauseEvent: longest.eventNumber,
        pauseEngine: longest.context.serverId,
        pauseStreams: longest.context.streamCount,
        pauseLocalPrefill: longest.context.hadLocalPrefill,
        medianPauseMs: medianMs === undefined ? undefined : Math.round(medianMs),
      };
}

/** What the caller resumes, and which software versions have written the response. */
function resumptionFields({ request, softwareVersions }: RequestState): Record<string, unknown> {
  const { lastEventId, resumedRequestId } = request;
  return {
    resumes: resumedRequestId,
    afterEvent: lastEventId,
    softwareVersions: softwareVersions.length === 0 ? undefined : softwareVersions,
  };
}

interface RequestLabels {
  route: Route;
  service: string;
  workspace: Workspace | undefined;
}

/** Wraps the exchange to record the request's outcome in the log, the metrics and the decision ring. */
function recordOutcome(
  inner: CallerExchange,
  { route, service, workspace }: RequestLabels,
  { metrics, logger, ring }: RequestRouterOptions,
) {
  const startedAt = new Date().toISOString();
  const labels = { service, kind: route.kind };
  const { arrivedAtMs } = inner.request;
  let outcome = 'caller-left';
  let firstByteMs: number | undefined;
  let isNotRun = false;

  function noteFirstByte(): void {
    firstByteMs = monotonicNowMs() - arrivedAtMs;
    metrics.observeFirstByte(labels, firstByteMs);
  }

  const exchange: CallerExchange = {
    request: inner.request,
    signal: inner.signal,
    respond(response: CompleteResponse) {
      outcome = `answered-${response.status}`;
      noteFirstByte();
      inner.respond(response);
    },
    refuse(refusal: Refusal) {
      isNotRun = refusal.kind === 'not-run';
      outcome = refusal.kind === 'not-run' ? `not-run-${refusal.reason}` : refusal.kind;
      inner.refuse(refusal);
    },
    startResponse(status, headers): ResponseWriter {
      outcome = 'unfinished';
      noteFirstByte();
      const writer = inner.startResponse(status, headers);
      return {
        ...writer,
        end() {
          outcome = `answered-${status}`;
          writer.end();
        },
        abort() {
          outcome = 'cut';
          writer.abort();
        },
      };
    },
  };

  function reportPauses({ longest }: RelayPauses): void {
    const streamLabels = { service, class: route.name };
    const longestPauseMs = longest?.durationMs ?? 0;
    metrics.observeLongestPause(streamLabels, longestPauseMs);
    const cause = lateCause({ firstEventMs: firstByteMs ?? 0, longestPauseMs }, route);
    if (cause !== undefined) {
      metrics.countLateStream(streamLabels, cause);
    }
  }

  function report(state: RequestState, configurationVersion: number): void {
    const durationMs = monotonicNowMs() - arrivedAtMs;
    metrics.countRequest(labels, outcome);
    metrics.observeTotalDuration(labels, durationMs);
    if (workspace !== undefined) {
      metrics.observeWorkspaceRequest(workspace.name, outcome, firstByteMs);
    }
    if (state.softwareVersions.length > 1) {
      metrics.countMixedStream(service);
    }
    if (state.pauses !== undefined && outcome.startsWith('answered-2')) {
      reportPauses(state.pauses);
    }
    logger.info('request ended', {
      requestId: state.request.id,
      route: route.name,
      workspace: workspace?.name,
      priority: state.priority,
      kind: route.kind === routeKinds.stream ? 'stream' : route.kind,
      outcome,
      firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      durationMs: Math.round(durationMs),
      leftMs: Math.round(state.endsAtMs - monotonicNowMs()),
      furtherAttempts: state.furtherAttemptCount,
      promptTokens: state.request.prompt?.promptTokens,
      ...resumptionFields(state),
      ...pauseFields(state.pauses),
      trail: state.trail.map(({ atMs, detail }) => `${atMs}ms ${detail}`).join('; '),
      configurationVersion,
    });
    ring.record({
      requestId: state.request.id,
      service,
      institution: '',
      className: route.name,
      startedAt,
      steps: state.trail.map(({ atMs, detail }) => ({ atMs, kind: 'step', detail: { detail } })),
      outcome,
    });
  }

  return { exchange, report, hasNotRun: () => isNotRun };
}
