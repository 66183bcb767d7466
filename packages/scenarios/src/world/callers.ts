/** Callers of a world: sends requests and records what each caller has received. */
import { effectiveClass } from '@bluebellhitch/document';
import { estimateTokens, prefixBlockHashes } from '@bluebellhitch/protocol';
import {
  assertNever,
  delay,
  monotonicNowMs,
  type NotRun,
  type RefusalReason,
} from '@bluebellhitch/shared';
import {
  computeClaimKey,
  computeFingerprint,
  type ResponseEvent,
  type ModelRequest,
} from '@bluebellhitch/entry';
import { runOutsideProcesses } from './simulatedProcess';
import type { EntryCore } from './worldEntry';

export interface CallerRequest {
  /** Unique in the world. */
  name: string;
  service: string;
  prompt: string;
  outputTokens: number;
  institution?: string;
  className?: string;
  /** Idempotency key. */
  key?: string;
  /** Whether the request must not be repeated; it then needs a key. */
  marked?: boolean;
}

/** How a request ended for its caller. */
export type CallOutcome =
  | { kind: 'whole' }
  /** An explicit refusal, or an explicit error after some tokens. */
  | { kind: 'refused'; reason: RefusalReason; notRun: NotRun; retryAfterMs?: number }
  /** The connection closed without an end marker. */
  | { kind: 'broken' }
  /** The caller disconnected first. */
  | { kind: 'left' };

export interface SentRequest extends CallerRequest {
  entryId: string;
  engineModel: string;
  sentAtMs: number;
  /** Text received so far. */
  text: string;
  tokenCount: number;
  outcome?: CallOutcome;
  endedAtMs?: number;
  /** Disconnects the caller. */
  disconnect(): void;
}

export interface CallOptions {
  core: EntryCore;
  request: CallerRequest;
  /** One-way latency between the caller and its entry. */
  latencyMs: number;
}

/** Sends a request to an entry and records the response as it arrives. */
export function callEntry({ core, request, latencyMs }: CallOptions): SentRequest {
  let detach: () => void = () => undefined;
  const sent: SentRequest = {
    ...request,
    entryId: core.context.entryId,
    engineModel: '',
    sentAtMs: monotonicNowMs(),
    text: '',
    tokenCount: 0,
    disconnect: () => {
      finish({ kind: 'left' });
      detach();
    },
  };

  function finish(outcome: CallOutcome): void {
    if (sent.outcome === undefined) {
      sent.outcome = outcome;
      sent.endedAtMs = monotonicNowMs();
    }
  }

  async function run(): Promise<void> {
    await delay(latencyMs);
    if (core.process.state() === 'crashed') {
      finish({ kind: 'broken' });
      return;
    }
    core.process.crashSignal.addEventListener('abort', () => finish({ kind: 'broken' }));
    await core.process.whenRunning();
    if (sent.outcome !== undefined) {
      return;
    }
    const modelRequest = toModelRequest(core, request);
    if (modelRequest === undefined) {
      finish({ kind: 'refused', reason: 'unknown-service', notRun: true });
      return;
    }
    sent.engineModel = modelRequest.engineModel;
    await readResponse(modelRequest);
  }

  async function readResponse(modelRequest: ModelRequest): Promise<void> {
    const shareKey =
      modelRequest.repeatable && modelRequest.claimKey !== undefined
        ? `${modelRequest.claimKey}/${modelRequest.fingerprint}`
        : undefined;
    const membership = core.process.run(() => core.runs.start(modelRequest, shareKey));
    detach = () => {
      void runOutsideProcesses(async () => {
        await delay(latencyMs);
        await core.process.whenRunning();
        core.process.run(membership.leave);
      });
    };
    for await (const event of membership.log.read()) {
      receive(event);
    }
  }

  function receive(event: ResponseEvent): void {
    if (sent.outcome !== undefined) {
      return;
    }
    switch (event.kind) {
      case 'tokens':
        sent.text += event.text;
        sent.tokenCount += event.tokenCount;
        return;
      case 'end':
        finish({ kind: 'whole' });
        return;
      case 'refused': {
        const { reason, notRun, retryAfterMs } = event.refusal;
        finish({ kind: 'refused', reason, notRun, retryAfterMs });
        return;
      }
      default:
        assertNever(event);
    }
  }

  void runOutsideProcesses(run);
  return sent;
}

/** Converts the request as the entry's HTTP interface would. */
function toModelRequest(core: EntryCore, request: CallerRequest): ModelRequest | undefined {
  const target = core.services.findModel(request.service);
  if (target === undefined) {
    return undefined;
  }
  const { document, engineModel } = target;
  const { name, prompt, key, marked = false } = request;
  const { institution = document.institution } = request;
  const trafficClass = effectiveClass(document, request.className);
  const arrivedAtMs = monotonicNowMs();
  return {
    requestId: name,
    document,
    trafficClass,
    engineModel,
    origin: { institution, className: trafficClass.name },
    prompt,
    promptTokens: estimateTokens(prompt),
    prefixBlocks: prefixBlockHashes(prompt),
    maxOutputTokens: Math.min(request.outputTokens, document.limits.maxOutputTokens),
    repeatable: !marked,
    claimKey: key === undefined ? undefined : computeClaimKey(document.service, institution, key),
    fingerprint: computeFingerprint(institution, prompt),
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + document.limits.requestTimeoutMs,
  };
}
