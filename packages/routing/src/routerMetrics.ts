/** Metrics of the router in the Prometheus format. Latency histograms are per service and route kind. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { LateCause } from '@bluebellhitch/decisions';
import type { RenderedMetrics } from '@bluebellhitch/telemetry';
import { createCallerMetrics, type CallerMetrics } from './callerMetrics';
import type { RouteKind } from './model';
import { createServerMetrics, type ServerMetrics } from './servers/serverMetrics';

export interface RequestLabels {
  service: string;
  kind: RouteKind;
}

export interface StreamLabels {
  service: string;
  /** Name of the route. */
  class: string;
}

export interface RouterMetrics extends RenderedMetrics, CallerMetrics, ServerMetrics {
  countRequest(labels: RequestLabels, outcome: string): void;
  observeFirstByte(labels: RequestLabels, durationMs: number): void;
  observeTotalDuration(labels: RequestLabels, durationMs: number): void;
  observePlacement(service: string, durationMs: number): void;
  /** Counts requests placed before more urgent ones because they had waited long. */
  countOvertaking(service: string): void;
  /** Ratio of the expected to the actual output tokens of a stream that has ended. */
  observeLengthForecast(service: string, ratio: number): void;
  /** Counts prompts to be prefilled by a decode engine that is too slow for it, by what became of them. */
  countSlowLocalPrefill(service: string, outcome: string): void;
  /** Longest pause between two events of a stream whose response is complete. */
  observeLongestPause(labels: StreamLabels, durationMs: number): void;
  /** Counts streams with a complete response that missed a target of their route. */
  countLateStream(labels: StreamLabels, cause: LateCause): void;
  /** Counts responses with events of several software versions, which do not fit together. */
  countMixedStream(service: string): void;
  /** Counts requests that resume a stream, by how the version that began it was found. */
  countResumedStream(service: string, source: string): void;
  countFurtherAttempt(service: string, cause: string): void;
  /** Counts further attempts that the budget of the service refused. */
  countRefusedAttempt(service: string, cause: string): void;
  /** Counts calls with a request whose response was lost, by who ended them. */
  countLostRun(service: string, cause: string): void;
  /** Counts crashes of servers under a request, as noticed here. */
  countCrash(): void;
  /** Counts requests that were quarantined, here or by another router. */
  countQuarantined(): void;
  countPrefillTokens(tokens: number): void;
  countWastedPrefillTokens(tokens: number): void;
  countConnection(): void;
  setConfigurationVersion(version: number): void;
  /** How often the platform's store has been restored from a backup, as reported by the store. */
  setStoreEra(era: number): void;
  countUnreadableObject(kind: string): void;
  /** Counts what was told of servers' speeds, over all peers. */
  countSpeedRows(rows: number, bytes: number): void;
  /** Counts prompts by how their prefill engine was chosen. */
  countPrefillChoice(rule: string): void;
  /** Counts requests that are refused before any work was done for them. */
  countRefusedAtOnce(cause: string, workspace?: string): void;
  observeWorkspaceRequest(
    workspace: string,
    outcome: string,
    firstByteMs: number | undefined,
  ): void;
}

const labelNames = ['service', 'kind'] as const;
const msPerSecond = 1000;
const ratioBuckets = [0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 4];
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.62, 0.9, 1.5, 3, 6, 15, 60];
/** Targets for pauses lie between some 100 ms and some seconds. */
const pauseBuckets = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 1, 2, 5];
/** With prom-client's default of 10 ms, the monitor's timer causes most of the work of an idle process. */
const eventLoopPrecisionMs = 100;

/** Maximum number of workspaces with time series of their own. Others share one, which bounds the memory used. */
const maxWorkspaceLabels = 100;
/** The same for the classes of streams: a configuration may have thousands of routes. */
const maxClassLabels = 20;
const otherLabel = 'other';

export interface RouterMetricsOptions {
  /** Returns the number of log lines that could not be written so far. */
  droppedLines?: () => number;
}

export function createRouterMetrics(options: RouterMetricsOptions = {}): RouterMetrics {
  const { droppedLines = () => 0 } = options;
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: eventLoopPrecisionMs,
  });
  const counter = (name: string, help: string, names: readonly string[] = []) =>
    new Counter({ name, help, labelNames: names, registers });
  const histogram = (name: string, help: string, names: readonly string[]) =>
    new Histogram({ name, help, labelNames: names, buckets: latencyBuckets, registers });
  const gauge = (name: string, help: string) => new Gauge({ name, help, registers });

  const requests = counter('bluebell_requests_total', 'Requests by how they ended.', [
    ...labelNames,
    'outcome',
  ]);
  const firstByte = histogram(
    'bluebell_first_byte_seconds',
    'From arrival of the request to the first byte of its answer.',
    labelNames,
  );
  const totalDuration = histogram(
    'bluebell_whole_answer_seconds',
    'From arrival of the request to the end of its answer.',
    labelNames,
  );
  const placements = histogram(
    'bluebell_placement_seconds',
    'Wait of model requests for decode memory.',
    ['service'],
  );
  const overtaking = counter(
    'bluebell_overtaking_total',
    'Requests placed before more urgent ones, since they had waited long.',
    ['service'],
  );
  const lengthForecasts = new Histogram({
    name: 'bluebell_length_forecast_ratio',
    help: 'Expected output of streams that ended, over their output; half should lie below 1.',
    labelNames: ['service'],
    buckets: ratioBuckets,
    registers,
  });
  const classLabel = createLabelLimiter(maxClassLabels);
  const limitClass = (labels: StreamLabels) => ({ ...labels, class: classLabel(labels.class) });
  const longestPauses = new Histogram({
    name: 'bluebell_stream_longest_pause_seconds',
    help: 'Longest pause between two events of each complete stream, by class.',
    labelNames: ['service', 'class'],
    buckets: pauseBuckets,
    registers,
  });
  const lateStreams = counter(
    'bluebell_late_streams_total',
    'Complete streams that missed a target of their route, by class and cause.',
    ['service', 'class', 'cause'],
  );
  const slowLocalPrefills = counter(
    'bluebell_slow_local_prefills_total',
    'Prompts that a decode engine too slow for it was to prefill: moved to a faster one, or kept.',
    ['service', 'outcome'],
  );
  const mixedStreams = counter(
    'bluebell_mixed_streams_total',
    'Streams with events of several software versions in one response.',
    ['service'],
  );
  const resumedStreams = counter(
    'bluebell_resumed_streams_total',
    'Requests that resume a stream, by how the software version that began it was found.',
    ['service', 'source'],
  );
  const furtherAttempts = counter(
    'bluebell_further_attempts_total',
    'Attempts beyond the first by cause.',
    ['service', 'cause'],
  );
  const refusedAttempts = counter(
    'bluebell_refused_attempts_total',
    'Attempts beyond the first that the budget of the service refused, by cause.',
    ['service', 'cause'],
  );
  const lostRuns = counter(
    'bluebell_lost_runs_total',
    'Calls with a request whose response was lost, by who ended them.',
    ['service', 'cause'],
  );
  const crashes = counter(
    'bluebell_request_crashes_total',
    'Backend servers that crashed while they ran a request, counted for each of their requests.',
  );
  const quarantined = counter(
    'bluebell_quarantined_requests_total',
    'Requests refused from then on because they crash backend servers.',
  );
  const prefillTokens = counter('bluebell_prefill_tokens_total', 'Prompt tokens read.');
  const wastedTokens = counter(
    'bluebell_wasted_prefill_tokens_total',
    'Prompt tokens read whose result was not used.',
  );
  const connections = counter(
    'bluebell_backend_connections_total',
    'Connections opened to backend servers.',
  );
  const unwrittenLines = gauge('bluebell_log_lines_dropped', 'Log lines that were not written.');
  const configurationVersion = gauge(
    'bluebell_configuration_version',
    'Version of the configuration in force.',
  );
  const storeEra = gauge(
    'bluebell_store_era',
    'How often the store came back from an older copy, as it tells in its answers.',
  );
  const unreadableObjects = counter(
    'bluebell_unreadable_objects_total',
    'Objects of the store that could not be read, by kind; each reading counts.',
    ['kind'],
  );
  const refusedAtOnce = counter(
    'bluebell_refused_at_once_total',
    'Requests refused before anything was done for them, by cause.',
    ['cause', 'workspace'],
  );
  const workspaceRequests = counter(
    'bluebell_workspace_requests_total',
    'Requests of each workspace by how they ended.',
    ['workspace', 'outcome'],
  );
  const workspaceFirstByte = histogram(
    'bluebell_workspace_first_byte_seconds',
    'From arrival of the request to the first byte of its answer, for each workspace.',
    ['workspace'],
  );
  const workspaceLabel = createLabelLimiter(maxWorkspaceLabels);
  const speedRows = counter(
    'bluebell_speed_rows_sent_total',
    'Estimates of the speed of backend servers that were sent to other routers.',
  );
  const speedBytes = counter(
    'bluebell_speed_bytes_sent_total',
    'Bytes of these messages, without headers of the network.',
  );
  const prefillChoices = counter(
    'bluebell_prefill_choices_total',
    'Choices of a prefill engine: by backlog, where speeds are even, or by expected end.',
    ['rule'],
  );

  return {
    ...createCallerMetrics(registry),
    ...createServerMetrics(registry),
    contentType: registry.contentType,
    render() {
      unwrittenLines.set(droppedLines());
      return registry.metrics();
    },
    countRequest: (labels, outcome) => requests.inc({ ...labels, outcome }),
    observeFirstByte: (labels, durationMs) =>
      firstByte.observe({ ...labels }, durationMs / msPerSecond),
    observeTotalDuration: (labels, durationMs) =>
      totalDuration.observe({ ...labels }, durationMs / msPerSecond),
    observePlacement: (service, durationMs) =>
      placements.observe({ service }, durationMs / msPerSecond),
    countOvertaking: (service) => overtaking.inc({ service }),
    observeLengthForecast: (service, ratio) => lengthForecasts.observe({ service }, ratio),
    countSlowLocalPrefill: (service, outcome) => slowLocalPrefills.inc({ service, outcome }),
    observeLongestPause: (labels, durationMs) =>
      longestPauses.observe(limitClass(labels), durationMs / msPerSecond),
    countLateStream: (labels, cause) => lateStreams.inc({ ...limitClass(labels), cause }),
    countMixedStream: (service) => mixedStreams.inc({ service }),
    countResumedStream: (service, source) => resumedStreams.inc({ service, source }),
    countFurtherAttempt: (service, cause) => furtherAttempts.inc({ service, cause }),
    countRefusedAttempt: (service, cause) => refusedAttempts.inc({ service, cause }),
    countLostRun: (service, cause) => lostRuns.inc({ service, cause }),
    countCrash: () => crashes.inc(),
    countQuarantined: () => quarantined.inc(),
    countPrefillTokens: (tokens) => prefillTokens.inc(tokens),
    countWastedPrefillTokens: (tokens) => wastedTokens.inc(tokens),
    countConnection: () => connections.inc(),
    setConfigurationVersion: (value) => configurationVersion.set(value),
    setStoreEra: (era) => storeEra.set(era),
    countUnreadableObject: (kind) => unreadableObjects.inc({ kind }),
    countSpeedRows(rows, bytes) {
      speedRows.inc(rows);
      speedBytes.inc(bytes);
    },
    countPrefillChoice: (rule) => prefillChoices.inc({ rule }),
    countRefusedAtOnce: (cause, workspace) =>
      refusedAtOnce.inc({
        cause,
        workspace: workspace === undefined ? '' : workspaceLabel(workspace),
      }),
    observeWorkspaceRequest(workspace, outcome, firstByteMs) {
      const name = workspaceLabel(workspace);
      workspaceRequests.inc({ workspace: name, outcome });
      if (firstByteMs !== undefined) {
        workspaceFirstByte.observe({ workspace: name }, firstByteMs / msPerSecond);
      }
    },
  };
}

/** The first `maxLabels` names keep their own label. */
function createLabelLimiter(maxLabels: number): (name: string) => string {
  const knownNames = new Set<string>();
  return (name) => {
    if (knownNames.size < maxLabels) {
      knownNames.add(name);
    }
    return knownNames.has(name) ? name : otherLabel;
  };
}
