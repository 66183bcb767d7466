/** Metrics of backend servers: how many are known, how they change, and what they say of themselves. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

export interface ServerMetrics {
  setServers(count: number): void;
  /** Counts changes of backend servers, by what was known of the incarnation before. */
  countServerChange(change: string, known: string): void;
  /** Counts health checks of servers whose entries have returned, by what they showed. */
  countReturnCheck(health: string): void;
  /** Number of servers that state a request limit in their responses. */
  setLimitedServers(count: number): void;
  /** Counts permits for requests to servers that state a limit. */
  countPermit(outcome: string): void;
  /** Counts responses that were not read to their end, as they were too long or another request's. */
  countAbandonedAnswer(): void;
  /** Counts responses that were not their call's, by the id that they had. */
  countForeignResponse(id: string): void;
  /** `sign`: what says that the request did not run. */
  countRejection(status: number, sign: 'header' | 'status'): void;
  /** Counts notices of backend servers about themselves, by kind. */
  countServerNotice(kind: string): void;
  /** Counts periods in which an engine was unresponsive, as noticed by this router itself. */
  countUnresponsivePeriod(service: string, cause: string): void;
  /** Duration of such a period, once the engine has answered again. */
  observeUnresponsivePeriod(service: string, durationMs: number): void;
}

const msPerSecond = 1000;
const periodBuckets = [0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 30, 120];

export function createServerMetrics(registry: Registry): ServerMetrics {
  const registers = [registry];
  const counter = (name: string, help: string, labelNames: readonly string[]) =>
    new Counter({ name, help, labelNames, registers });
  const gauge = (name: string, help: string) => new Gauge({ name, help, registers });

  const servers = gauge('bluebell_backend_servers', 'Backend servers that are known.');
  const changes = counter(
    'bluebell_backend_server_changes_total',
    'Changes of backend servers, by what was known of the incarnation before.',
    ['change', 'known'],
  );
  const returnChecks = counter(
    'bluebell_returned_server_checks_total',
    'Health checks of backend servers whose entries have returned, by what they showed.',
    ['health'],
  );
  const permits = counter(
    'bluebell_permits_total',
    'Permits for requests to servers that name a limit: own, granted by another router, or refused.',
    ['outcome'],
  );
  const limitedServers = gauge(
    'bluebell_limited_backend_servers',
    'Backend servers that name a limit of requests a second in their answers.',
  );
  const abandonedAnswers = new Counter({
    name: 'bluebell_abandoned_answers_total',
    help: "Answers of backend servers that were not read to their end: too long, too slow, or another request's.",
    registers,
  });
  const foreignResponses = counter(
    'bluebell_foreign_responses_total',
    "Responses of backend servers that were not their call's, by the id that they had: another one, or none.",
    ['id'],
  );
  const rejections = counter(
    'bluebell_backend_rejections_total',
    "Responses of backend servers that say that a caller's request did not run, by status and by what says so: a header, or the status alone.",
    ['status', 'sign'],
  );
  const notices = counter(
    'bluebell_server_words_total',
    'Answers in which a backend server says something of itself, by what it says.',
    ['word'],
  );
  const unresponsivePeriods = counter(
    'bluebell_unresponsive_engine_periods_total',
    'Periods in which an engine did not answer this router, by service and by what its first sign was.',
    ['service', 'cause'],
  );
  const periodDurations = new Histogram({
    name: 'bluebell_unresponsive_engine_seconds',
    help: 'Duration of these periods, of engines that have answered again.',
    labelNames: ['service'],
    buckets: periodBuckets,
    registers,
  });
  return {
    setServers: (count) => servers.set(count),
    countServerChange: (change, known) => changes.inc({ change, known }),
    countReturnCheck: (health) => returnChecks.inc({ health }),
    setLimitedServers: (count) => limitedServers.set(count),
    countPermit: (outcome) => permits.inc({ outcome }),
    countAbandonedAnswer: () => abandonedAnswers.inc(),
    countForeignResponse: (id) => foreignResponses.inc({ id }),
    countRejection: (status, sign) => rejections.inc({ status: String(status), sign }),
    countServerNotice: (notice) => notices.inc({ word: notice }),
    countUnresponsivePeriod: (service, cause) => unresponsivePeriods.inc({ service, cause }),
    observeUnresponsivePeriod: (service, durationMs) =>
      periodDurations.observe({ service }, durationMs / msPerSecond),
  };
}
