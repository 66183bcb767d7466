/** Takes a caller's request from its route to its final answer, and tells in one log line how it went. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { DecisionRing } from '@bluebellhitch/telemetry';
import type { AnswerWriter, CallerExchange, WholeAnswer } from './callerApi';
import { notRunReasons, routeKinds, type Refusal, type Route } from './model';
import { createPrefillStage } from './prefillStage';
import { servePlain } from './plainRequest';
import { createRequestState, type RequestState } from './requestState';
import type { RouterParts } from './routerParts';
import { chooseTarget, type RouteTable } from './routeTable';
import { serveStream } from './streamRequest';

export interface RequestRouter {
  /** Ends with exactly one final call on the exchange. */
  serve(exchange: CallerExchange): Promise<void>;
}

export interface RequestRouterOptions extends RouterParts {
  /** The configuration in force; undefined until the first is known. */
  routeTable: () => RouteTable | undefined;
  /** Keeps how the latest requests went. */
  ring: DecisionRing;
}

/** A process that starts knows its configuration within about a second. */
const startRetryAfterMs = 500;

export function createRequestRouter(options: RequestRouterOptions): RequestRouter {
  const { routeTable, logger, random } = options;
  const prefillStage = createPrefillStage(options);

  async function serve(exchange: CallerExchange): Promise<void> {
    const { request } = exchange;
    const table = routeTable();
    if (table === undefined) {
      const reason = notRunReasons.noConfiguration;
      exchange.refuse({ kind: 'not-run', reason, retryAfterMs: startRetryAfterMs });
      return;
    }
    const route = table.match(request.host, request.target);
    const target = route === undefined ? undefined : chooseTarget(route.targets, random());
    const service = target === undefined ? undefined : table.service(target.serviceName);
    if (route === undefined || service === undefined) {
      logger.info('request refused', {
        requestId: request.id,
        cause: 'no route',
        configurationVersion: table.configuration.version,
      });
      exchange.refuse({ kind: 'no-route' });
      return;
    }
    const recorded = recordEnd(exchange, route, service.name, options);
    const { state, end } = createRequestState({ exchange: recorded.exchange, route, service });
    options.budget.recordRequest(service.name, monotonicNowMs());
    try {
      await serveRoute(state);
    } finally {
      end();
      recorded.report(state, table.configuration.version);
    }
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

/** Watches what the caller is told, for the log and the metrics. */
function recordEnd(
  inner: CallerExchange,
  route: Route,
  service: string,
  { metrics, logger, ring }: RequestRouterOptions,
) {
  const startedAt = new Date().toISOString();
  const labels = { service, kind: route.kind };
  const { arrivedAtMs } = inner.request;
  let outcome = 'caller-left';
  let firstByteMs: number | undefined;

  function noteFirstByte(): void {
    firstByteMs = monotonicNowMs() - arrivedAtMs;
    metrics.observeFirstByte(labels, firstByteMs);
  }

  const exchange: CallerExchange = {
    request: inner.request,
    signal: inner.signal,
    answer(answer: WholeAnswer) {
      outcome = `answered-${answer.status}`;
      noteFirstByte();
      inner.answer(answer);
    },
    refuse(refusal: Refusal) {
      outcome = refusal.kind === 'not-run' ? `not-run-${refusal.reason}` : refusal.kind;
      inner.refuse(refusal);
    },
    begin(status, headers): AnswerWriter {
      outcome = 'unfinished';
      noteFirstByte();
      const writer = inner.begin(status, headers);
      return {
        ...writer,
        end() {
          outcome = `answered-${status}`;
          writer.end();
        },
        cut() {
          outcome = 'cut';
          writer.cut();
        },
      };
    },
  };

  function report(state: RequestState, configurationVersion: number): void {
    const durationMs = monotonicNowMs() - arrivedAtMs;
    metrics.countRequest(labels, outcome);
    metrics.observeWhole(labels, durationMs);
    logger.info('request ended', {
      requestId: state.request.id,
      route: route.name,
      kind: route.kind === routeKinds.stream ? 'stream' : route.kind,
      outcome,
      firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      durationMs: Math.round(durationMs),
      leftMs: Math.round(state.endsAtMs - monotonicNowMs()),
      promptTokens: state.request.prompt?.promptTokens,
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

  return { exchange, report };
}
