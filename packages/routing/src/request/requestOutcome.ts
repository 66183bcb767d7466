/** Records how a request ended: in the log, the metrics and the decision ring. */
import { lateCause } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { DecisionRing, Logger } from '@bluebellhitch/telemetry';
import type { CallerExchange, CompleteResponse, ResponseWriter } from '../callerApi';
import { routeKinds, type Refusal, type Route, type Workspace } from '../model';
import type { RouterMetrics } from '../routerMetrics';
import type { RelayPauses } from '../servers/streamPauses';
import type { RequestState } from './requestState';

export interface RequestLabels {
  route: Route;
  service: string;
  workspace: Workspace | undefined;
}

export interface OutcomeRecorder {
  /** The exchange on which the request is to be served. */
  exchange: CallerExchange;
  /** Called once the request has ended. */
  report(state: RequestState, configurationVersion: number): void;
  hasNotRun(): boolean;
}

export interface OutcomeRecorderOptions {
  metrics: RouterMetrics;
  logger: Logger;
  ring: DecisionRing;
}

/** Wraps the exchange to record the request's outcome in the log, the metrics and the decision ring. */
export function createOutcomeRecorder(
  inner: CallerExchange,
  { route, service, workspace }: RequestLabels,
  { metrics, logger, ring }: OutcomeRecorderOptions,
): OutcomeRecorder {
  const startedAt = new Date().toISOString();
  const labels = { service, kind: route.kind };
  const { arrivedAtMs } = inner.request;
  let outcome = 'caller-left';
  let firstByteMs: number | undefined;
  let isNotRun = false;
  let leftAtMs: number | undefined;
  inner.signal.addEventListener('abort', () => {
    leftAtMs = monotonicNowMs();
  });

  function sinceArrivalMs(atMs: number | undefined): number | undefined {
    return atMs === undefined ? undefined : Math.round(atMs - arrivedAtMs);
  }

  function noteFirstByte(): void {
    firstByteMs = monotonicNowMs() - arrivedAtMs;
    metrics.observeFirstByte(labels, firstByteMs);
  }

  const exchange: CallerExchange = {
    request: inner.request,
    signal: inner.signal,
    heldUpMs: inner.heldUpMs,
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

  /** A request that is sent just before its caller's end is read may have been sent after that end. */
  function reportDeparture({ lastSentAtMs }: RequestState, atMs: number): void {
    metrics.countDeparture(service, lastSentAtMs === undefined ? 'unsent' : 'sent');
    if (lastSentAtMs !== undefined) {
      metrics.observeSentBeforeDeparture(service, Math.max(0, atMs - lastSentAtMs));
    }
  }

  function report(state: RequestState, configurationVersion: number): void {
    const durationMs = monotonicNowMs() - arrivedAtMs;
    metrics.countRequest(labels, outcome);
    metrics.observeTotalDuration(labels, durationMs);
    if (workspace !== undefined) {
      metrics.observeWorkspaceRequest(workspace.name, outcome, firstByteMs);
    }
    if (leftAtMs !== undefined) {
      reportDeparture(state, leftAtMs);
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
      lastSentMs: sinceArrivalMs(state.lastSentAtMs),
      callerLeftMs: sinceArrivalMs(leftAtMs),
      heldUpMs: Math.round(inner.heldUpMs ?? 0) || undefined,
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
