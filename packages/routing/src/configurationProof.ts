/**
 * How long ago the configuration in force was proved to be the newest. Answers API keys that are taken away: within a
 * bound no router may let their requests run, also one that is cut off, frozen or late. What proves is the moment
 * at which a call of the platform began, never that at which its answer came: an answer may have been on its way, or a
 * process stood still, for any time. Routers that leave the watching to others ask those, and count from their question.
 *
 * While nothing fails, with calls of others of 1.25 s a router's proof is 3.2 s old at the most: two such calls, and the
 * time between two questions. It asks the platform itself soon after that.
 */
import { encodeProofMessage, type ProofAnswer, type ProofMessage } from '@bluebellhitch/protocol';
import {
  ageMsOf,
  createBackgroundLoop,
  delay,
  earlierBy,
  readClocks,
  type BackgroundLoop,
  type ClockReading,
  type Random,
} from '@bluebellhitch/shared';

export interface ProofChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
}

export interface ConfigurationProofOptions {
  channel: () => ProofChannel | undefined;
  /** Whether anything hangs on the proof. */
  isNeeded: () => boolean;
  /** Routers to ask; none where this one watches the platform itself. */
  witnesses: () => readonly string[];
  /** The newest revision of the configuration that this process has seen. */
  seenRevision: () => number;
  /** Another process has seen this revision. */
  onRevisionElsewhere(revision: number): void;
  random?: Random;
}

export interface ConfigurationProof extends BackgroundLoop {
  /** A call of the platform that began then has shown nothing newer than what is known here. */
  noteProved(begun: ClockReading): void;
  /** The newest configuration cannot be used: what is in force proves nothing. */
  noteUnusable(isUnusable: boolean): void;
  /** Infinite where nothing is proved. */
  ageMs(): number;
  receive(message: ProofMessage): void;
  /** Asks at once, as an earlier question may be lost. */
  ask(): void;
}

const questionIntervalMs = 700;
/** Between two questions that were not due yet. */
const leastQuestionGapMs = 100;
/** Answers to earlier questions are too late to help. */
const mostQuestions = 16;
const questionNumbers = 2 ** 48;

export function createConfigurationProof(options: ConfigurationProofOptions): ConfigurationProof {
  const { random = Math.random } = options;
  const asked = new Map<number, ClockReading>();
  let provedAt: ClockReading | undefined;
  /** By this process's own call: what others hear is never older than it says. */
  let ownProvedAt: ClockReading | undefined;
  let lastAskedAt: ClockReading | undefined;
  let isUnusable = false;

  function keepNewest(known: ClockReading | undefined, begun: ClockReading): ClockReading {
    return known === undefined || ageMsOf(begun) < ageMsOf(known) ? begun : known;
  }

  function ask(): void {
    const channel = options.channel();
    const witnesses = options.witnesses();
    const now = readClocks();
    const isTooSoon = lastAskedAt !== undefined && ageMsOf(lastAskedAt, now) < leastQuestionGapMs;
    if (channel === undefined || witnesses.length === 0 || isTooSoon) {
      return;
    }
    lastAskedAt = now;
    const number = Math.floor(random() * questionNumbers);
    asked.set(number, now);
    [...asked.keys()].slice(0, -mostQuestions).forEach((old) => asked.delete(old));
    const question = { kind: 'question', senderAddress: channel.address, number } as const;
    void channel.send(encodeProofMessage(question), witnesses);
  }

  function answer(senderAddress: string, number: number): void {
    const ageMs = ownProvedAt === undefined || isUnusable ? Infinity : ageMsOf(ownProvedAt);
    if (Number.isFinite(ageMs)) {
      const reply = { kind: 'answer', number, revision: options.seenRevision(), ageMs } as const;
      void options.channel()?.send(encodeProofMessage(reply), [senderAddress]);
    }
  }

  function takeAnswer({ number, revision, ageMs }: ProofAnswer): void {
    const askedAt = asked.get(number);
    if (askedAt === undefined) {
      return;
    }
    if (revision > options.seenRevision()) {
      options.onRevisionElsewhere(revision);
      return;
    }
    provedAt = keepNewest(provedAt, earlierBy(askedAt, ageMs));
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (options.isNeeded()) {
        ask();
      }
      await delay(questionIntervalMs, signal);
    }
  }

  return {
    ...createBackgroundLoop(run),
    noteProved(begun) {
      provedAt = keepNewest(provedAt, begun);
      ownProvedAt = keepNewest(ownProvedAt, begun);
    },
    noteUnusable(next) {
      isUnusable = next;
    },
    ageMs: () => (provedAt === undefined || isUnusable ? Infinity : ageMsOf(provedAt)),
    receive(message) {
      if (message.kind === 'question') {
        answer(message.senderAddress, message.number);
      } else {
        takeAnswer(message);
      }
    },
    ask,
  };
}
