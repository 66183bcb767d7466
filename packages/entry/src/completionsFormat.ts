/** Completions in the OpenAI format: chunks of a stream, and complete objects. */
import type { FinishReason } from '@bluebellhitch/protocol';
import type { Refusal } from '@bluebellhitch/shared';
import type { CompletionKind } from './completionsBody';

/** Fields that all chunks of one completion share. */
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
  chat: { completion: 'chat.completion', chunk: 'chat.completion.chunk', idPrefix: 'chatcmpl' },
  text: { completion: 'text_completion', chunk: 'text_completion', idPrefix: 'cmpl' },
} as const;

/** A chunk with text. */
export function textChunk(identity: CompletionIdentity, text: string, isFirst: boolean): object {
  const delta = isFirst ? { role: 'assistant', content: text } : { content: text };
  const choice = identity.kind === 'chat' ? { delta } : { text };
  return chunk(identity, [{ index: 0, ...choice, finish_reason: null }]);
}

/** The last chunk of a complete response. */
export function finishChunk(identity: CompletionIdentity, finishReason: FinishReason): object {
  const choice = identity.kind === 'chat' ? { delta: {} } : { text: '' };
  return chunk(identity, [{ index: 0, ...choice, finish_reason: finishReason }]);
}

/** The chunk with the token usage, sent after the last chunk if the caller asked for it. */
export function usageChunk(identity: CompletionIdentity, usage: CompletionUsage): object {
  return { ...chunk(identity, []), usage: usageFields(usage) };
}

/** Data of the error event that ends a response which cannot be completed. */
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

/** The body of a response that is not streamed. */
export function completionObject(
  identity: CompletionIdentity,
  result: { text: string; finishReason: FinishReason; usage: CompletionUsage },
): object {
  const content =
    identity.kind === 'chat'
      ? { message: { role: 'assistant', content: result.text } }
      : { text: result.text };
  return {
    ...commonFields(identity, objectNames[identity.kind].completion),
    choices: [{ index: 0, ...content, finish_reason: result.finishReason }],
    usage: usageFields(result.usage),
  };
}

function chunk(identity: CompletionIdentity, choices: object[]): object {
  return { ...commonFields(identity, objectNames[identity.kind].chunk), choices };
}

function commonFields(identity: CompletionIdentity, object: string): object {
  return {
    id: `${objectNames[identity.kind].idPrefix}-${identity.requestId}`,
    object,
    created: identity.createdAtSeconds,
    model: identity.model,
  };
}

function usageFields({ promptTokens, outputTokens }: CompletionUsage): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
}
