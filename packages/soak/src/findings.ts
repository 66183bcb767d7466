/** Violations of promises that a run has found, each with the details needed to trace it. */
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
  crashing: 'crashing',
  oneVersion: 'one-version',
  resumption: 'resumption',
  silence: 'silence',
} as const;
export type PromiseName = (typeof promises)[keyof typeof promises];

export interface SoakFinding {
  promise: PromiseName;
  /** From the start of the run. */
  atMs: number;
  detail: string;
  requestId?: string;
}

export interface Findings {
  add(promise: PromiseName, detail: string, requestId?: string): void;
  all(): readonly SoakFinding[];
}

/** One fault can affect many requests; the first findings are sufficient. */
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
