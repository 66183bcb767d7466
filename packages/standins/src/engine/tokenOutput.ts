/** The stand-in's output: a pure function of prompt and model, so that tests can predict it. */
import { hash64 } from '@bluebellhitch/shared';
import type { FinishReason } from '@bluebellhitch/protocol';

// prettier-ignore
const words = [
  'bond', 'series', 'holder', 'matures', 'redeem', 'notice', 'interest', 'county', 'ledger', 'value',
  'tread', 'casing', 'pressure', 'axle', 'retread', 'survey', 'depth', 'load', 'rim', 'inspect',
  'the', 'and', 'of', 'in', 'for', 'under', 'was', 'is', 'per', 'since', 'until', 'with',
] as const;

const minOutputTokens = 40;
const maxOutputTokens = 400;

export interface ExpectedOutput {
  /** Text of the token at `offset`, with a leading space except for the first. */
  tokenText(offset: number): string;
  /** Text of the first `tokenCount` tokens. */
  text(tokenCount?: number): string;
  tokenCount: number;
  finishReason: FinishReason;
}

/** Returns what a stand-in engine outputs for `prompt`. */
export function expectedOutput(
  prompt: string,
  model: string,
  tokenLimit = Number.POSITIVE_INFINITY,
): ExpectedOutput {
  const seed = hash64(`${model}\u0000${prompt}`);
  const span = BigInt(maxOutputTokens - minOutputTokens + 1);
  const naturalCount = minOutputTokens + Number(seed % span);
  const tokenCount = Math.min(naturalCount, tokenLimit);
  const tokenText = (offset: number) => {
    const word = words[Number(hash64(`${seed}:${offset}`) % BigInt(words.length))] ?? words[0];
    return offset === 0 ? word : ` ${word}`;
  };
  return {
    tokenText,
    text: (count = tokenCount) =>
      Array.from({ length: count }, (_, offset) => tokenText(offset)).join(''),
    tokenCount,
    finishReason: naturalCount <= tokenLimit ? 'stop' : 'length',
  };
}
