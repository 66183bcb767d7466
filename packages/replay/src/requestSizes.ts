/** Draws request sizes: prompts and outputs are log-normal, and the median hint is correct. */
import type { PromptSize } from '@bluebellhitch/routing';
import type { Random } from '@bluebellhitch/shared';
import type { RequestKind, SizeDistribution } from './pattern';

export interface RequestSize {
  prompt: PromptSize;
  outputTokens: number;
}

export function drawSize(kind: RequestKind, tokensPerEvent: number, random: Random): RequestSize {
  const outputTokens = Math.max(tokensPerEvent, draw(kind.outputTokens, random));
  const { hintSpread } = kind;
  return {
    outputTokens,
    prompt: {
      promptTokens: draw(kind.promptTokens, random),
      maxOutputTokens: kind.outputTokens.most,
      expectedOutputTokens:
        hintSpread === undefined
          ? undefined
          : Math.max(1, Math.round(outputTokens * Math.exp(hintSpread * drawNormal(random)))),
    },
  };
}

function draw({ median, spread, most }: SizeDistribution, random: Random): number {
  return Math.round(Math.min(most, median * Math.exp(spread * drawNormal(random))));
}

function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
