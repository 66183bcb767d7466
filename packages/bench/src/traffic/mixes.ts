/** Traffic mix of each institution: request sizes, classes and behaviour of callers. */
import { institutionNames, type InstitutionName } from '../fleet/fleetDescription';
import type { CountRange, Weighted } from './distributions';

/** Kind of prompt: a template, then a history that several requests share, then a question. */
export interface PromptKind extends Weighted {
  name: string;
  templateTokens: number;
  /** Number of histories to draw from by a Zipf distribution; 0 if the prompt has no history. */
  historyCount: number;
  historyTokens: CountRange;
  questionTokens: CountRange;
}

export interface TrafficClassShare extends Weighted {
  name: string;
}

export interface PlainCallKind extends Weighted {
  method: 'GET' | 'POST';
  /** Prefix of the path; GET calls append the id of the request. */
  pathPrefix: string;
  /** Whether the call carries `Idempotency-Key`. */
  hasIdempotencyKey: boolean;
}

export interface ModelMix {
  prompts: PromptKind[];
  outputTokens: CountRange;
  classes: TrafficClassShare[];
  /** Fraction of requests sent with `x-no-repeat` and an `Idempotency-Key`. */
  noRepeatRatio: number;
  /** Fraction of requests that the caller cancels before the end of the response. */
  cancelRatio: number;
}

export interface PlainMix {
  /** Number of plain calls per model request. */
  callsPerModelRequest: number;
  calls: PlainCallKind[];
  className: string;
}

export interface InstitutionMix {
  model: ModelMix;
  plain: PlainMix;
}

export const mixes: Record<InstitutionName, InstitutionMix> = {
  [institutionNames.halloranVoss]: {
    model: {
      prompts: [
        createPromptKind('notice', 40, { templateTokens: 64, question: [16, 200] }),
        createPromptKind('summary', 50, {
          templateTokens: 320,
          historyCount: 300,
          history: [600, 3_200],
          question: [16, 120],
        }),
        createPromptKind('estate', 10, {
          templateTokens: 320,
          historyCount: 40,
          history: [4_000, 16_000],
          question: [16, 120],
        }),
      ],
      outputTokens: { min: 32, max: 128 },
      classes: [
        { name: 'counter', weight: 60 },
        { name: 'notices', weight: 37 },
        { name: 'batch', weight: 3 },
      ],
      noRepeatRatio: 0.1,
      cancelRatio: 0.03,
    },
    plain: {
      callsPerModelRequest: 1,
      className: 'counter',
      calls: [
        { method: 'GET', pathPrefix: '/balance/', hasIdempotencyKey: false, weight: 8 },
        { method: 'POST', pathPrefix: '/receipts', hasIdempotencyKey: true, weight: 2 },
      ],
    },
  },
  [institutionNames.sahlat]: {
    model: {
      prompts: [
        createPromptKind('audit', 15, { templateTokens: 64, question: [16, 200] }),
        createPromptKind('casing', 65, {
          templateTokens: 320,
          historyCount: 160,
          history: [1_000, 4_000],
          question: [16, 120],
        }),
        createPromptKind('retread', 20, {
          templateTokens: 320,
          historyCount: 40,
          history: [5_000, 20_000],
          question: [16, 120],
        }),
      ],
      outputTokens: { min: 48, max: 160 },
      classes: [
        { name: 'inspections', weight: 75 },
        { name: 'audits', weight: 25 },
      ],
      noRepeatRatio: 0.1,
      cancelRatio: 0.03,
    },
    plain: {
      callsPerModelRequest: 1,
      className: 'foremen',
      calls: [
        { method: 'GET', pathPrefix: '/dispatch/', hasIdempotencyKey: false, weight: 6 },
        { method: 'POST', pathPrefix: '/checkins', hasIdempotencyKey: false, weight: 4 },
      ],
    },
  },
};

interface PromptShape {
  templateTokens: number;
  historyCount?: number;
  history?: [min: number, max: number];
  question: [min: number, max: number];
}

function createPromptKind(name: string, weight: number, shape: PromptShape): PromptKind {
  const { templateTokens, historyCount = 0, history = [1, 1], question } = shape;
  const [historyMin, historyMax] = history;
  const [questionMin, questionMax] = question;
  return {
    name,
    weight,
    templateTokens,
    historyCount,
    historyTokens: { min: historyMin, max: historyMax },
    questionTokens: { min: questionMin, max: questionMax },
  };
}
