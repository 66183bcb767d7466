import test from 'ava';
import { expectedOutput } from '@bluebellhitch/standins';
import { summarizeGoodput, evaluateResponse, computeP95 } from '../src/accounting/goodput';
import type { ResponseEnd, ModelResponse, PlainResponse } from '../src/load/responses';

const engineModel = 'bond-drafter';
const options = {
  targets: { firstTokenMs: 620, betweenTokensMs: 28 },
  engineModel,
  fromMs: 0,
  toMs: 10_000,
};
const complete: ResponseEnd = { kind: 'complete' };

interface ResponseShape {
  atMs?: number;
  end?: ResponseEnd;
  text?: string;
  firstTokenMs?: number;
  gapsMs?: number[];
}

function createModelResponse(shape: ResponseShape = {}): ModelResponse {
  const prompt = 'Draft a notice.';
  const maxOutputTokens = 20;
  const { atMs = 100, end = complete, firstTokenMs = 200 } = shape;
  const { gapsMs = Array.from({ length: maxOutputTokens - 1 }, () => 20) } = shape;
  return {
    arrival: {
      kind: 'model',
      atMs,
      id: 'request-1',
      prompt,
      promptTokens: 4,
      sharedPrefix: { key: '', tokenCount: 0 },
      maxOutputTokens,
      className: 'counter',
      noRepeat: false,
    },
    end,
    text: shape.text ?? expectedOutput(prompt, engineModel, maxOutputTokens).text(),
    firstTokenMs,
    gapsMs,
    endMs: 600,
  };
}

function createPlainResponse(text: string, end: ResponseEnd = complete): PlainResponse {
  return {
    arrival: {
      kind: 'plain',
      atMs: 100,
      id: 'call-1',
      method: 'GET',
      path: '/balance/call-1',
      marker: 'call-1',
      hasIdempotencyKey: false,
      className: 'counter',
    },
    end,
    text,
    endMs: 5,
  };
}

test('a response is good if it is complete, has the expected text and meets both targets', (t) => {
  t.is(evaluateResponse(createModelResponse(), options), 'good');
  t.is(evaluateResponse(createModelResponse({ firstTokenMs: 620 }), options), 'good');
  t.is(evaluateResponse(createModelResponse({ firstTokenMs: 621 }), options), 'late-first-token');
  t.is(evaluateResponse(createModelResponse({ gapsMs: [29] }), options), 'late-between-tokens');
});

test('one gap in twenty may be above the target', (t) => {
  const gaps = (longCount: number) =>
    Array.from({ length: 20 }, (_, index) => (index < longCount ? 500 : 20));

  t.is(evaluateResponse(createModelResponse({ gapsMs: gaps(1) }), options), 'good');
  t.is(evaluateResponse(createModelResponse({ gapsMs: gaps(2) }), options), 'late-between-tokens');
  t.is(computeP95([]), 0);
});

test('a complete response with another text is wrong, however fast it is', (t) => {
  const { text } = createModelResponse();

  t.is(evaluateResponse(createModelResponse({ text: text.slice(0, -1) }), options), 'wrong');
  t.is(evaluateResponse(createModelResponse({ text: `${text} bond` }), options), 'wrong');
});

test('refused, incomplete and wrong responses count against goodput, cancelled ones do not', (t) => {
  const summary = summarizeGoodput(
    [
      createModelResponse(),
      createModelResponse({ text: 'of another request' }),
      createModelResponse({
        end: { kind: 'refused', status: 503, reason: 'no-capacity', notRun: true },
      }),
      createModelResponse({ end: { kind: 'incomplete', reason: 'incomplete-answer' } }),
      createModelResponse({ end: { kind: 'cancelled' } }),
    ],
    options,
  );

  t.is(summary.offered, 4);
  t.is(summary.good, 1);
  t.is(summary.goodput, 0.25);
  t.deepEqual(summary.verdicts, { good: 1, wrong: 1, refused: 1, incomplete: 1, cancelled: 1 });
  t.deepEqual(summary.refusals, { 'no-capacity': 1, 'incomplete: incomplete-answer': 1 });
  t.is(summary.refusedNotRun, 1);
});

test('goodput by the mean gap tolerates a few long gaps', (t) => {
  const gapsMs = [...Array.from({ length: 18 }, () => 20), 60, 60];
  const summary = summarizeGoodput([createModelResponse({ gapsMs })], options);

  t.is(summary.goodput, 0);
  t.is(summary.goodputByMeanGap, 1);
});

test('only requests that arrive in the window count', (t) => {
  const summary = summarizeGoodput(
    [
      createModelResponse({ atMs: 999 }),
      createModelResponse({ atMs: 1_000 }),
      createModelResponse({ atMs: 2_000 }),
    ],
    { ...options, fromMs: 1_000, toMs: 2_000 },
  );

  t.is(summary.offered, 1);
  t.is(summary.completedPerSecond, 1);
  t.is(summary.outputTokensPerSecond, 20);
});

test('a plain response must contain the marker of its call', (t) => {
  const { plain } = summarizeGoodput(
    [
      createPlainResponse('{"account":"call-1"}'),
      createPlainResponse('{"account":"call-2"}'),
      createPlainResponse('', { kind: 'connection-failed', reason: 'ECONNRESET' }),
    ],
    options,
  );

  t.is(plain.offered, 3);
  t.is(plain.complete, 2);
  t.is(plain.wrong, 1);
});

test('goodput and quantiles of an empty window are 0', (t) => {
  const summary = summarizeGoodput([], options);

  t.is(summary.goodput, 0);
  t.is(summary.firstTokenMs.count, 0);
  t.is(summary.firstTokenMs.max, 0);
});
