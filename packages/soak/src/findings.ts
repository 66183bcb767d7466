/** Broken promises that a run has seen, each with what a reader needs to trace it. */
import { monotonicNowMs } from '@bluebellhitch/shared';

export const promises = {
  wholeAnswer: 'whole-answer',
  atMostOnce: 'at-most-once',
  trueRefusal: 'true-refusal',
  drain: 'drain',
  configuration: 'configuration',
  budget: 'budget',
  inTime: 'in-time',
  leaving: 'leaving',
  recovery: 'recovery',
  oneHolder: 'one-holder',
  ownEnd: 'own-end',
  keys: 'keys',
  quota: 'quota',
  serverLimit: 'server-limit',
  leavingWord: 'leaving-word',
  restWord: 'rest-word',
} as const;
export type Promised = (typeof promises)[keyof typeof promises];

export interface SoakFinding {
  promise: Promised;
  /** From the start of the traffic. */
  atMs: number;
  detail: string;
  requestId?: string;
}

export interface Findings {
  add(promise: Promised, detail: string, requestId?: string): void;
  all(): readonly SoakFinding[];
}

/** One fault shows in many requests: the first ones tell enough. */
const maxFindings = 50;

export function createFindings(startedAtMs: number): Findings {
  const found: SoakFinding[] = [];
  return {
    add(promise, detail, requestId) {
      if (found.length < maxFindings) {
        found.push({
          promise,
          atMs: Math.round(monotonicNowMs() - startedAtMs),
          detail,
          requestId,
        });
      }
    },
    all: () => found,
  };
}
