/**
 * Sends a trace's requests at their times, whatever becomes of earlier ones, to entries in turn, and
 * collects all answers. Tells how late it was itself, so that a slow bench is not taken for a slow
 * system.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { Agent, type Dispatcher } from 'undici';
import type { Arrival } from '../traffic/trace';
import type { Answer } from './answers';
import { callModel, callPlain } from './callerStream';

export interface OpenLoopOptions {
  trace: readonly Arrival[];
  callerAddresses: readonly string[];
  /** Service that model requests name. */
  model: string;
  institution: string;
  /** Makes idempotency keys of this run differ from those of earlier runs of the same trace. */
  keyPrefix: string;
  /** Bound of each answer. */
  timeoutMs: number;
}

export interface OpenLoopResult {
  answers: Answer[];
  tool: ToolHealth;
}

/** How well the bench itself kept up. */
export interface ToolHealth {
  /** Latest sending of a request behind its time. */
  maxSendLagMs: number;
  /** 99th percentile of the delay of the bench's own event loop. */
  eventLoopDelayP99Ms: number;
}

const nsPerMs = 1e6;
const delayResolutionMs = 5;

export async function runOpenLoop(options: OpenLoopOptions): Promise<OpenLoopResult> {
  const dispatcher = createDispatcher();
  const loopDelay = monitorEventLoopDelay({ resolution: delayResolutionMs });
  loopDelay.enable();
  const startedAtMs = monotonicNowMs();
  const running: Promise<Answer>[] = [];
  let maxSendLagMs = 0;
  for (const [index, arrival] of options.trace.entries()) {
    const waitMs = startedAtMs + arrival.atMs - monotonicNowMs();
    if (waitMs > 0) {
      await delay(waitMs);
    }
    maxSendLagMs = Math.max(maxSendLagMs, monotonicNowMs() - startedAtMs - arrival.atMs);
    running.push(send(options, dispatcher, arrival, index));
  }
  const answers = await Promise.all(running);
  loopDelay.disable();
  await dispatcher.destroy();
  // The monitor counts its own interval as part of each delay.
  const eventLoopDelayP99Ms = Math.max(0, loopDelay.percentile(99) / nsPerMs - delayResolutionMs);
  return { answers, tool: { maxSendLagMs, eventLoopDelayP99Ms } };
}

/** Shorter than any server's, so that no request meets a connection that is just being closed. */
const keepAliveMs = 1_000;

/** A dispatcher that never queues a request behind another one. */
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

function send(
  options: OpenLoopOptions,
  dispatcher: Dispatcher,
  arrival: Arrival,
  index: number,
): Promise<Answer> {
  const { callerAddresses, institution, keyPrefix, model, timeoutMs } = options;
  const callerAddress = callerAddresses[index % callerAddresses.length] ?? '';
  const call = { dispatcher, callerAddress, institution, keyPrefix, timeoutMs };
  return arrival.kind === 'model'
    ? callModel({ ...call, model, arrival })
    : callPlain({ ...call, arrival });
}
