/** Callers of a world: what each sent, and what it has received so far. */
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
  claimKeyOf,
  fingerprintOf,
  type AnswerEvent,
  type ModelRequest,
} from '@bluebellhitch/entry';
import { outside } from './simulatedProcess';
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
  /** Marked as not to be repeated; it then needs a key. */
  marked?: boolean;
}

/** How a request ended for its caller. */
export type CallerAnswer =
  | { kind: 'whole' }
  /** An explicit refusal, or an explicit error where tokens came before it. */
  | { kind: 'refused'; reason: RefusalReason; notRun: NotRun; retryAfterMs?: number }
  /** The connection closed without an end. */
  | { kind: 'broken' }
  /** The caller went away first. */
  | { kind: 'left' };

export interface SentRequest extends CallerRequest {
  entryId: string;
  engineModel: string;
  sentAtMs: number;
  /** Text received so far. */
  text: string;
  tokenCount: number;
  answer?: CallerAnswer;
  answeredAtMs?: number;
  /** The caller goes away. */
  leave(): void;
}

export interface CallOptions {
  core: EntryCore;
  request: CallerRequest;
  /** One way between the caller and its entry. */
  latencyMs: number;
}

/** Sends a request to an entry and records its answer as it comes. */
export function callEntry({ core, request, latencyMs }: CallOptions): SentRequest {
  let leave: () => void = () => undefined;
  const sent: SentRequest = {
    ...request,
    entryId: core.context.entryId,
    engineModel: '',
    sentAtMs: monotonicNowMs(),
    text: '',
    tokenCount: 0,
    leave: () => {
      finish({ kind: 'left' });
      leave();
    },
  };

  function finish(answer: CallerAnswer): void {
    if (sent.answer === undefined) {
      sent.answer = answer;
      sent.answeredAtMs = monotonicNowMs();
    }
  }

  async function run(): Promise<void> {
    await delay(latencyMs);
    if (core.process.state() === 'crashed') {
      finish({ kind: 'broken' });
      return;
    }
    core.process.gone.addEventListener('abort', () => finish({ kind: 'broken' }));
    await core.process.turn();
    if (sent.answer !== undefined) {
      return;
    }
    const checked = toModelRequest(core, request);
    if (checked === undefined) {
      finish({ kind: 'refused', reason: 'unknown-service', notRun: true });
      return;
    }
    sent.engineModel = checked.engineModel;
    await read(checked);
  }

  async function read(checked: ModelRequest): Promise<void> {
    const shareKey =
      checked.repeatable && checked.claimKey !== undefined
        ? `${checked.claimKey}/${checked.fingerprint}`
        : undefined;
    const membership = core.process.run(() => core.runs.start(checked, shareKey));
    leave = () => {
      void outside(async () => {
        await delay(latencyMs);
        await core.process.turn();
        core.process.run(membership.leave);
      });
    };
    for await (const event of membership.log.read()) {
      receive(event);
    }
  }

  function receive(event: AnswerEvent): void {
    if (sent.answer !== undefined) {
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

  void outside(run);
  return sent;
}

/** What the entry's HTTP side would make of the request. */
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
    claimKey: key === undefined ? undefined : claimKeyOf(document.service, institution, key),
    fingerprint: fingerprintOf(institution, prompt),
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + document.limits.requestTimeoutMs,
  };
}
