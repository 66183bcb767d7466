/**
 * How long ago the configuration in force was proved to be the newest. Answers API keys that are taken away: within a
 * bound no router may let their requests run, also one that is cut off, frozen or late. What proves is the moment
 * at which a call of the platform began, never that at which its answer came: an answer may have been on its way, or a
 * process stood still, for any time. Routers that leave the watching to others ask those, and count from their question.
 *
 * While nothing fails, with calls of others of 1.25 s a router's proof is 3.2 s old at the most: two such calls, and the
 * time between two questions. It asks the platform itself soon after that.
 *
 * A platform that comes back from an older copy may show an older configuration, and one that is older proves nothing:
 * neither to a router that knows a newer one, nor to one that has just started and hears of a newer one from those it asks.
 */
import {
  encodeProofMessage,
  eraOf,
  type ProofAnswer,
  type ProofMessage,
  type StorePosition,
  type ToldConfiguration,
} from '@bluebellhitch/protocol';
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
  seenRevision: () => StorePosition;
  /** Another process has seen this revision. */
  onRevisionElsewhere(revision: StorePosition): void;
  random?: Random;
}

export interface ConfigurationProof extends BackgroundLoop {
  /** This version of the configuration is in force from now on. */
  noteConfiguration(version: number): void;
  /** A call of the platform that began then has shown this version of the configuration, and nothing newer. */
  noteProved(begun: ClockReading, shownVersion: number): void;
  /** The platform has come back from an older copy: what was proved before is no proof for others any more. */
  noteEraRisen(): void;
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
/** The first question is answered well within this time. */
const answerWaitMs = 1_500;

export function createConfigurationProof(options: ConfigurationProofOptions): ConfigurationProof {
  const { random = Math.random } = options;
  const asked = new Map<number, ClockReading>();
  let provedAt: ClockReading | undefined;
  /** By this process's own call: what others hear is never older than it says. */
  let ownProvedAt: ClockReading | undefined;
  let lastAskedAt: ClockReading | undefined;
  let isUnusable = false;
  /** In force here, since when; version 0 before the first. */
  let configuration = { version: 0, sinceAt: readClocks() };
  /** The newest that a router that was asked has in force. */
  let versionElsewhere = 0;
  let hasAnswer = false;
  /** Of the first question, whether there was anyone to ask or not. */
  let firstAskedAt: ClockReading | undefined;

  const ownVersion = () => configuration.version;
  const isFirstEra = () => eraOf(options.seenRevision()) === 0;

  function keepNewest(known: ClockReading | undefined, begun: ClockReading): ClockReading {
    return known === undefined || ageMsOf(begun) < ageMsOf(known) ? begun : known;
  }

  function ask(): void {
    const channel = options.channel();
    const witnesses = options.witnesses();
    const now = readClocks();
    firstAskedAt ??= now;
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

  /** Without a proof of its own it still tells its configuration's version: the asker's may be older. */
  function answer(senderAddress: string, number: number): void {
    const ageMs = ownProvedAt === undefined || isUnusable ? Infinity : ageMsOf(ownProvedAt);
    const { version, sinceAt } = configuration;
    const told = { version, ageMs: ageMsOf(sinceAt) };
    const revision = options.seenRevision();
    const reply = { kind: 'answer', number, revision, ageMs, configuration: told } as const;
    void options.channel()?.send(encodeProofMessage(reply), [senderAddress]);
  }

  function takeAnswer(told: ProofAnswer): void {
    const askedAt = asked.get(told.number);
    if (askedAt === undefined) {
      return;
    }
    const { revision, ageMs, configuration: theirs = { version: ownVersion(), ageMs: 0 } } = told;
    hasAnswer = true;
    noteVersionElsewhere(theirs, askedAt);
    if (revision > options.seenRevision()) {
      options.onRevisionElsewhere(revision);
      return;
    }
    const isOfEra = eraOf(revision) === eraOf(options.seenRevision());
    if (isOfEra && theirs.version === ownVersion()) {
      provedAt = keepNewest(provedAt, earlierBy(askedAt, ageMs));
    }
  }

  /**
   * A call that began after another router had a newer version, and did not show it, was answered from an older copy. One
   * that began before proves what it did: that version may be on its way here.
   */
  function noteVersionElsewhere(
    { version, ageMs }: ToldConfiguration,
    askedAt: ClockReading,
  ): void {
    versionElsewhere = Math.max(versionElsewhere, version);
    const knownThereForMs = ageMsOf(askedAt) + ageMs;
    if (version > ownVersion() && provedAt !== undefined && ageMsOf(provedAt) <= knownThereForMs) {
      provedAt = undefined;
      ownProvedAt = undefined;
    }
  }

  /**
   * Whether the routers that were there before the platform came back have had time to tell of a newer configuration than
   * its copy. In the first era there is no copy, and nothing to wait for.
   */
  function hasHeardOthers(): boolean {
    const hasListened = firstAskedAt !== undefined && ageMsOf(firstAskedAt) > answerWaitMs;
    return isFirstEra() || hasAnswer || hasListened;
  }

  /**
   * Whether this router's word is one for others. Two that have both just started would confirm an older copy to each other,
   * and refuse keys in force for good: each would take the other for one that had been there before. So would one that has
   * heard of a newer configuration and does not have it yet.
   */
  function hasWord(): boolean {
    const hasNewest = isFirstEra() || ownVersion() >= versionElsewhere;
    return ownVersion() > 0 && hasNewest && hasHeardOthers();
  }

  function isProvable(): boolean {
    return !isUnusable && hasHeardOthers();
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isNeeded = options.isNeeded();
      if (isNeeded) {
        ask();
      }
      // Until somebody has answered, a router that starts may know an older copy only.
      const isUrgent = isNeeded && !hasAnswer;
      await delay(isUrgent ? leastQuestionGapMs : questionIntervalMs, signal);
    }
  }

  return {
    ...createBackgroundLoop(run),
    noteConfiguration(version) {
      configuration = { version, sinceAt: readClocks() };
    },
    noteProved(begun, shownVersion) {
      if (shownVersion < Math.max(ownVersion(), versionElsewhere)) {
        return;
      }
      // Nothing is asked while there is no configuration: a router may have waited for the store for long.
      if (firstAskedAt === undefined) {
        ask();
      }
      provedAt = keepNewest(provedAt, begun);
      ownProvedAt = keepNewest(ownProvedAt, begun);
    },
    noteUnusable(next) {
      isUnusable = next;
    },
    noteEraRisen() {
      ownProvedAt = undefined;
    },
    ageMs: () => (provedAt === undefined || !isProvable() ? Infinity : ageMsOf(provedAt)),
    receive(message) {
      if (message.kind === 'question') {
        if (hasWord()) {
          answer(message.senderAddress, message.number);
        }
      } else {
        takeAnswer(message);
      }
    },
    ask,
  };
}
