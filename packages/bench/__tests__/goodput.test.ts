import test from 'ava';
import { expectedOutput } from '@bluebellhitch/standins';
import { accountGoodput, judge, p95Of } from '../src/accounting/goodput';
import type { AnswerEnd, ModelAnswer, PlainAnswer } from '../src/load/answers';

const engineModel = 'bond-drafter';
const options = {
  targets: { firstTokenMs: 620, betweenTokensMs: 28 },
  engineModel,
  fromMs: 0,
  toMs: 10_000,
};
const whole: AnswerEnd = { kind: 'complete' };

interface AnswerShape {
  atMs?: number;
  end?: AnswerEnd;
  text?: string;
  firstTokenMs?: number;
  gapsMs?: number[];
}

function modelAnswer(shape: AnswerShape = {}): ModelAnswer {
  const prompt = 'Draft a notice.';
  const maxOutputTokens = 20;
  const { atMs = 100, end = whole, firstTokenMs = 200 } = shape;
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

function plainAnswer(text: string, end: AnswerEnd = whole): PlainAnswer {
  return {
    arrival: {
      kind: 'plain',
      atMs: 100,
      id: 'call-1',
      method: 'GET',
      path: '/balance/call-1',
      marker: 'call-1',
      keyed: false,
      className: 'counter',
    },
    end,
    text,
    endMs: 5,
  };
}

test('an answer is good when it is whole, own and within both targets', (t) => {
  t.is(judge(modelAnswer(), options), 'good');
  t.is(judge(modelAnswer({ firstTokenMs: 620 }), options), 'good');
  t.is(judge(modelAnswer({ firstTokenMs: 621 }), options), 'late-first-token');
  t.is(judge(modelAnswer({ gapsMs: [29] }), options), 'late-between-tokens');
});

test('one gap in twenty may be long', (t) => {
  const gaps = (longCount: number) =>
    Array.from({ length: 20 }, (_, index) => (index < longCount ? 500 : 20));

  t.is(judge(modelAnswer({ gapsMs: gaps(1) }), options), 'good');
  t.is(judge(modelAnswer({ gapsMs: gaps(2) }), options), 'late-between-tokens');
  t.is(p95Of([]), 0);
});

test('a whole answer with another text is wrong, however fast', (t) => {
  const { text } = modelAnswer();

  t.is(judge(modelAnswer({ text: text.slice(0, -1) }), options), 'wrong');
  t.is(judge(modelAnswer({ text: `${text} bond` }), options), 'wrong');
});

test('refusals, broken answers and wrong ones count against goodput, callers who left do not', (t) => {
  const account = accountGoodput(
    [
      modelAnswer(),
      modelAnswer({ text: 'of another request' }),
      modelAnswer({ end: { kind: 'refused', status: 503, reason: 'no-capacity', notRun: true } }),
      modelAnswer({ end: { kind: 'incomplete', reason: 'incomplete-answer' } }),
      modelAnswer({ end: { kind: 'cancelled' } }),
    ],
    options,
  );

  t.is(account.offered, 4);
  t.is(account.good, 1);
  t.is(account.goodput, 0.25);
  t.deepEqual(account.verdicts, { good: 1, wrong: 1, refused: 1, incomplete: 1, cancelled: 1 });
  t.deepEqual(account.refusals, { 'no-capacity': 1, 'incomplete: incomplete-answer': 1 });
  t.is(account.refusedNotRun, 1);
});

test('the mean gap is a second, milder measure', (t) => {
  const gapsMs = [...Array.from({ length: 18 }, () => 20), 60, 60];
  const account = accountGoodput([modelAnswer({ gapsMs })], options);

  t.is(account.goodput, 0);
  t.is(account.goodputByMeanGap, 1);
});

test('only arrivals of the window count', (t) => {
  const account = accountGoodput(
    [modelAnswer({ atMs: 999 }), modelAnswer({ atMs: 1_000 }), modelAnswer({ atMs: 2_000 })],
    { ...options, fromMs: 1_000, toMs: 2_000 },
  );

  t.is(account.offered, 1);
  t.is(account.completedPerSecond, 1);
  t.is(account.outputTokensPerSecond, 20);
});

test('a plain answer must name its own call', (t) => {
  const { plain } = accountGoodput(
    [
      plainAnswer('{"account":"call-1"}'),
      plainAnswer('{"account":"call-2"}'),
      plainAnswer('', { kind: 'connection-failed', reason: 'ECONNRESET' }),
    ],
    options,
  );

  t.is(plain.offered, 3);
  t.is(plain.complete, 2);
  t.is(plain.wrong, 1);
});

test('an empty window has no goodput', (t) => {
  const account = accountGoodput([], options);

  t.is(account.goodput, 0);
  t.is(account.firstTokenMs.count, 0);
  t.is(account.firstTokenMs.max, 0);
});
