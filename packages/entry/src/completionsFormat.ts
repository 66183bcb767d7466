/** Answers in the OpenAI format, streamed and whole. */
import type { FinishReason } from '@bluebellhitch/protocol';
import type { Refusal } from '@bluebellhitch/shared';
import type { CompletionKind } from './completionsBody';

/** What all parts of one answer share. */
export interface CompletionIdentity {
  kind: CompletionKind;
  requestId: string;
  model: string;
  /** Seconds since the epoch. */
  createdAtSeconds: number;
}

export interface CompletionUsage {
  promptTokens: number;
  outputTokens: number;
}

const objectNames = {
  chat: { whole: 'chat.completion', chunk: 'chat.completion.chunk', idPrefix: 'chatcmpl' },
  text: { whole: 'text_completion', chunk: 'text_completion', idPrefix: 'cmpl' },
} as const;

/** A chunk that carries text. */
export function textChunk(identity: CompletionIdentity, text: string, isFirst: boolean): object {
  const delta = isFirst ? { role: 'assistant', content: text } : { content: text };
  const choice = identity.kind === 'chat' ? { delta } : { text };
  return chunk(identity, [{ index: 0, ...choice, finish_reason: null }]);
}

/** The last chunk of a whole answer. */
export function finishChunk(identity: CompletionIdentity, finishReason: FinishReason): object {
  const choice = identity.kind === 'chat' ? { delta: {} } : { text: '' };
  return chunk(identity, [{ index: 0, ...choice, finish_reason: finishReason }]);
}

/** Follows the last chunk where the caller asked for usage. */
export function usageChunk(identity: CompletionIdentity, usage: CompletionUsage): object {
  return { ...chunk(identity, []), usage: usageBlock(usage) };
}

/** The error event that ends an answer which cannot be completed. */
export function errorEvent(refusal: Refusal, requestId: string): object {
  return {
    error: {
      message: refusal.detail,
      type: refusal.reason,
      reason: refusal.reason,
      notRun: refusal.notRun,
      requestId,
    },
  };
}

/** The body of an answer that is not streamed. */
export function wholeCompletion(
  identity: CompletionIdentity,
  answer: { text: string; finishReason: FinishReason; usage: CompletionUsage },
): object {
  const content =
    identity.kind === 'chat'
      ? { message: { role: 'assistant', content: answer.text } }
      : { text: answer.text };
  return {
    ...head(identity, objectNames[identity.kind].whole),
    choices: [{ index: 0, ...content, finish_reason: answer.finishReason }],
    usage: usageBlock(answer.usage),
  };
}

function chunk(identity: CompletionIdentity, choices: object[]): object {
  return { ...head(identity, objectNames[identity.kind].chunk), choices };
}

function head(identity: CompletionIdentity, object: string): object {
  return {
    id: `${objectNames[identity.kind].idPrefix}-${identity.requestId}`,
    object,
    created: identity.createdAtSeconds,
    model: identity.model,
  };
}

function usageBlock({ promptTokens, outputTokens }: CompletionUsage): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
}
