/**
 * Asks other routers of the shard for further attempts when few of this router's own are left, and answers such
 * questions. Nothing waits for an answer: a request that finds no attempt left goes on without one.
 */
import { createBoundedMap, type AttemptLoans } from '@bluebellhitch/decisions';
import {
  encodeAttemptMessage,
  type AttemptAnswer,
  type AttemptMessage,
  type AttemptQuestion,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, rotateRandomly, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { AttemptBudget } from './attemptBudget';

export interface AttemptChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** Shard peers that have sent a message within the peer timeout. */
  livePeers(): readonly string[];
}

export interface AttemptExchangeOptions {
  channel: () => AttemptChannel | undefined;
  loans: AttemptLoans;
  budget: Pick<AttemptBudget, 'lend'>;
  /** Time for which a loan may be used; a small part of the budget's window. */
  lifetimeMs: number;
  onLoan?: (outcome: LoanOutcome, count: number) => void;
  logger: Logger;
  nowMs?: () => number;
  random?: Random;
}

/** What became of a question: attempts lent or borrowed, or a question that this router or another one refused. */
export type LoanOutcome = 'lent' | 'borrowed' | 'refused' | 'refused-by-peer' | 'returned';

export interface AttemptExchange {
  /** Few attempts of the service are left here. */
  noteLow(serviceName: string): void;
  receive(message: AttemptMessage): void;
  /** Returns loans that have expired. */
  returnExpired(): void;
  close(): void;
}

interface Question {
  lender: string;
  serviceName: string;
  sentAtMs: number;
}

/** Attempts asked for at once; what is not used is returned. */
const wantedCount = 4;
/** Limits what a router sends when attempts are short everywhere. */
const minQuestionIntervalMs = 250;
const maxQuestionIntervalMs = 1_000;
/** A peer that refused is not asked again for this time. */
const refusalMs = 1_000;
const maxRefusals = 4_096;
const maxQuestions = 256;
const questionNumberRange = 2 ** 48;
const returnIntervalMs = 250;

export function createAttemptExchange(options: AttemptExchangeOptions): AttemptExchange {
  const { loans, budget, lifetimeMs, logger } = options;
  const { onLoan = () => undefined, nowMs = monotonicNowMs, random = Math.random } = options;
  const questions = createBoundedMap<number, Question>({ maxEntries: maxQuestions });
  /** Keyed by service and peer: until when the peer is not asked. */
  const refusedUntilMs = createBoundedMap<string, number>({ maxEntries: maxRefusals });
  let nextQuestionAtMs = -Infinity;
  let refusalsInRow = 0;
  const returnTimer = setInterval(returnExpired, returnIntervalMs);
  returnTimer.unref();

  function send(message: AttemptMessage, to: string): void {
    void options.channel()?.send(encodeAttemptMessage(message), [to]);
  }

  function choosePeer(peers: readonly string[], serviceName: string): string | undefined {
    const mayAsk = (peer: string) =>
      (refusedUntilMs.get(keyOf(serviceName, peer)) ?? -Infinity) <= nowMs();
    return rotateRandomly(peers, random).find(mayAsk);
  }

  /** Longer while attempts are short everywhere: then questions cost bytes and time and bring nothing. */
  const questionIntervalMs = () =>
    Math.min(maxQuestionIntervalMs, minQuestionIntervalMs * 2 ** Math.floor(refusalsInRow / 4));

  function noteLow(serviceName: string): void {
    const channel = nowMs() < nextQuestionAtMs ? undefined : options.channel();
    if (channel === undefined) {
      return;
    }
    nextQuestionAtMs = nowMs() + questionIntervalMs();
    const lender = choosePeer(channel.livePeers(), serviceName);
    if (lender !== undefined) {
      ask(lender, serviceName, channel.address);
    }
  }

  function ask(lender: string, serviceName: string, senderAddress: string): void {
    const number = Math.floor(random() * questionNumberRange);
    questions.set(number, { lender, serviceName, sentAtMs: nowMs() });
    // Until it answers, the peer counts as one that refuses.
    refusedUntilMs.set(keyOf(serviceName, lender), nowMs() + refusalMs);
    const question = { kind: 'attempt-question', senderAddress, number, serviceName } as const;
    send({ ...question, wantedCount, lifetimeMs }, lender);
  }

  function answer(question: AttemptQuestion): void {
    const { senderAddress: borrower, number, serviceName } = question;
    const lentCount = budget.lend(
      {
        borrower,
        number,
        serviceName,
        count: question.wantedCount,
        lifetimeMs: question.lifetimeMs,
      },
      nowMs(),
    );
    onLoan(lentCount > 0 ? 'lent' : 'refused', Math.max(1, lentCount));
    send({ kind: 'attempt-answer', number, lentCount }, borrower);
  }

  function applyAnswer({ number, lentCount: count }: AttemptAnswer): void {
    const question = questions.get(number);
    if (question === undefined) {
      return;
    }
    questions.delete(number);
    refusalsInRow = count === 0 ? refusalsInRow + 1 : 0;
    const { lender, serviceName, sentAtMs } = question;
    if (count === 0) {
      onLoan('refused-by-peer', 1);
      return;
    }
    refusedUntilMs.delete(keyOf(serviceName, lender));
    loans.borrow({ lender, number, serviceName, count, untilMs: sentAtMs + lifetimeMs });
    onLoan('borrowed', count);
    logger.info('attempts borrowed', { serviceName, count, lender });
  }

  function returnExpired(): void {
    const channel = options.channel();
    loans.takeExpired(nowMs()).forEach(({ lender, number, unusedCount }) => {
      if (channel !== undefined && unusedCount > 0) {
        const { address: senderAddress } = channel;
        send({ kind: 'attempt-return', senderAddress, number, unusedCount }, lender);
        onLoan('returned', unusedCount);
      }
    });
  }

  return {
    noteLow,
    receive(message) {
      switch (message.kind) {
        case 'attempt-question':
          answer(message);
          break;
        case 'attempt-answer':
          applyAnswer(message);
          break;
        case 'attempt-return':
          loans.takeBack(message.senderAddress, message.number, message.unusedCount);
          break;
      }
    },
    returnExpired,
    close() {
      clearInterval(returnTimer);
    },
  };
}

function keyOf(serviceName: string, peer: string): string {
  return `${serviceName} ${peer}`;
}
