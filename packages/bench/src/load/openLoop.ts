/**
 * Sends the requests of a trace in an open loop: each at its arrival time, whether or not earlier ones have finished,
 * and to the entries in turn. Also reports how late the generator itself was, so that a slow generator is not mistaken
 * for a slow system.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { Agent, type Dispatcher } from 'undici';
import type { Arrival } from '../traffic/trace';
import type { CallerResponse } from './responses';
import { callModel, callPlain } from './callerClient';

export interface OpenLoopOptions {
  trace: readonly Arrival[];
  callerAddresses: readonly string[];
  /** Name of the model service. */
  model: string;
  institution: string;
  /** Makes idempotency keys of this run differ from those of earlier runs of the same trace. */
  keyPrefix: string;
  /** Timeout of each response. */
  timeoutMs: number;
}

export interface OpenLoopResult {
  responses: CallerResponse[];
  tool: GeneratorHealth;
}

/** How well the load generator itself kept up. */
export interface GeneratorHealth {
  /** Largest delay between a request's arrival time and its sending. */
  maxSendLagMs: number;
  /** 99th percentile of the delay of the generator's event loop. */
  eventLoopDelayP99Ms: number;
}

const nsPerMs = 1e6;
const delayResolutionMs = 5;

export async function runOpenLoop(options: OpenLoopOptions): Promise<OpenLoopResult> {
  const dispatcher = createDispatcher();
  const loopDelay = monitorEventLoopDelay({ resolution: delayResolutionMs });
  loopDelay.enable();
  const startedAtMs = monotonicNowMs();
  const pending: Promise<CallerResponse>[] = [];
  let maxSendLagMs = 0;
  for (const [index, arrival] of options.trace.entries()) {
    const waitMs = startedAtMs + arrival.atMs - monotonicNowMs();
    if (waitMs > 0) {
      await delay(waitMs);
    }
    maxSendLagMs = Math.max(maxSendLagMs, monotonicNowMs() - startedAtMs - arrival.atMs);
    pending.push(sendRequest(options, dispatcher, arrival, index));
  }
  const responses = await Promise.all(pending);
  loopDelay.disable();
  await dispatcher.destroy();
  // The monitor includes its sampling interval in each delay.
  const eventLoopDelayP99Ms = Math.max(0, loopDelay.percentile(99) / nsPerMs - delayResolutionMs);
  return { responses, tool: { maxSendLagMs, eventLoopDelayP99Ms } };
}

/** Shorter than that of any server, so that no request is sent on a connection that the server is closing. */
const keepAliveMs = 1_000;

/** Creates a dispatcher that never queues a request behind another one. */
export function createDispatcher(): Agent {
  return new Agent({
    connections: null,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
  });
}

function sendRequest(
  options: OpenLoopOptions,
  dispatcher: Dispatcher,
  arrival: Arrival,
  index: number,
): Promise<CallerResponse> {
  const { callerAddresses, institution, keyPrefix, model, timeoutMs } = options;
  const callerAddress = callerAddresses[index % callerAddresses.length] ?? '';
  const call = { dispatcher, callerAddress, institution, keyPrefix, timeoutMs };
  return arrival.kind === 'model'
    ? callModel({ ...call, model, arrival })
    : callPlain({ ...call, arrival });
}
