/**
 * Tracks how long ago the configuration in force was proved to be the newest. This bounds how long a revoked API key
 * works: after a fixed time no router may run requests with it, even if the router is partitioned, frozen or slow. A
 * proof counts from the start of a call to the platform, never from its response, because a response may have been in
 * transit, or the process suspended, for any length of time. Routers that leave the watching to relays ask those for
 * their proof, and count it from the time of the question.
 *
 * While nothing fails and relays call the platform every 1.25 s, a router's proof is at most 3.2 s old: two such calls
 * plus the interval between two questions. Soon after that the router calls the platform itself.
 *
 * A platform restored from a backup may return an older configuration, and an older one proves nothing: neither to a
 * router that knows a newer one, nor to one that has just started and learns of a newer one from the routers it asks.
 */
import {
  encodeProofMessage,
  eraOf,
  type ProofAnswer,
  type ProofMessage,
  type StorePosition,
  type AnnouncedConfiguration,
} from '@bluebellhitch/protocol';
import {
  ageMsOf,
  createBackgroundLoop,
  delay,
  earlierBy,
  monotonicNowMs,
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
  /** Whether any request depends on the proof. */
  isNeeded: () => boolean;
  /** Routers to ask for their proof; empty if this one watches the platform itself. */
  proofSources: () => readonly string[];
  /** The newest revision of the configuration that this process has seen. */
  seenRevision: () => StorePosition;
  /** Called when a peer has seen this revision. */
  onPeerRevision(revision: StorePosition): void;
  random?: Random;
}

export interface ConfigurationProof extends BackgroundLoop {
  /** Records that this version of the configuration is in force from now on. */
  noteConfiguration(version: number): void;
  /** Records that a call to the platform that started then returned this version of the configuration as the newest. */
  noteProved(startedAt: ClockReading, shownVersion: number): void;
  /** The platform was restored from a backup: earlier proofs are no longer passed on to other routers. */
  noteEraChanged(): void;
  /**
   * Whether the platform was restored so short a time ago that it may lack versions of the configuration that no router
   * has seen: versions may have been written while all routers were cut off, and lost with the restore. A version that
   * is written again does not end this, as others may follow it.
   */
  mayLackVersions(): boolean;
  /** Sets whether the newest configuration is unusable, so that nothing proves the one in force to be current. */
  setUnusable(isUnusable: boolean): void;
  /** Age of the newest proof; infinite without one. */
  ageMs(): number;
  receive(message: ProofMessage): void;
  /** Asks immediately, as an earlier question may have been lost. */
  ask(): void;
}

const questionIntervalMs = 700;
/** Minimum time between two questions, for those sent ahead of the regular interval. */
const minQuestionGapMs = 100;
/** Answers to older questions arrive too late to be useful. */
const maxPendingQuestions = 16;
const questionNumberRange = 2 ** 48;
/** The first question is normally answered well within this time. */
const firstAnswerWaitMs = 1_500;
/** Time for operators to write again what a restored platform has lost; the server directory allows as much. */
const rewriteMs = 10_000;

export function createConfigurationProof(options: ConfigurationProofOptions): ConfigurationProof {
  const { random = Math.random } = options;
  const pendingQuestions = new Map<number, ClockReading>();
  let provedAt: ClockReading | undefined;
  /** Time of this process's own last proof: only that is passed on, so that its stated age is always correct. */
  let ownProvedAt: ClockReading | undefined;
  let lastAskedAt: ClockReading | undefined;
  let restoredAtMs = -Infinity;
  let isUnusable = false;
  /** The configuration in force here; version 0 before the first. */
  let configuration = { version: 0, inForceSince: readClocks() };
  /** The newest version that is active in an answering router. */
  let newestPeerVersion = 0;
  let hasAnswer = false;
  /** Time of the first attempt to ask, whether or not there was a router to ask. */
  let firstAskedAt: ClockReading | undefined;

  const ownVersion = () => configuration.version;
  const isFirstEra = () => eraOf(options.seenRevision()) === 0;

  function newestOf(known: ClockReading | undefined, startedAt: ClockReading): ClockReading {
    return known === undefined || ageMsOf(startedAt) < ageMsOf(known) ? startedAt : known;
  }

  function ask(): void {
    const channel = options.channel();
    const proofSources = options.proofSources();
    const now = readClocks();
    firstAskedAt ??= now;
    const isTooSoon = lastAskedAt !== undefined && ageMsOf(lastAskedAt, now) < minQuestionGapMs;
    if (channel === undefined || proofSources.length === 0 || isTooSoon) {
      return;
    }
    lastAskedAt = now;
    const number = Math.floor(random() * questionNumberRange);
    pendingQuestions.set(number, now);
    [...pendingQuestions.keys()]
      .slice(0, -maxPendingQuestions)
      .forEach((old) => pendingQuestions.delete(old));
    const question = { kind: 'question', senderAddress: channel.address, number } as const;
    void channel.send(encodeProofMessage(question), proofSources);
  }

  /**
   * Even without a proof of its own a router states its configuration's version: that of the asking router may be
   * older.
   */
  function answer(senderAddress: string, number: number): void {
    const ageMs = ownProvedAt === undefined || isUnusable ? Infinity : ageMsOf(ownProvedAt);
    const { version, inForceSince } = configuration;
    const inForce = { version, ageMs: ageMsOf(inForceSince) };
    const revision = options.seenRevision();
    const reply = { kind: 'answer', number, revision, ageMs, configuration: inForce } as const;
    void options.channel()?.send(encodeProofMessage(reply), [senderAddress]);
  }

  function applyAnswer(proofAnswer: ProofAnswer): void {
    const askedAt = pendingQuestions.get(proofAnswer.number);
    if (askedAt === undefined) {
      return;
    }
    const {
      revision,
      ageMs,
      configuration: peerConfiguration = { version: ownVersion(), ageMs: 0 },
    } = proofAnswer;
    hasAnswer = true;
    notePeerVersion(peerConfiguration, askedAt);
    if (revision > options.seenRevision()) {
      options.onPeerRevision(revision);
      return;
    }
    const isSameEra = eraOf(revision) === eraOf(options.seenRevision());
    if (isSameEra && peerConfiguration.version === ownVersion()) {
      provedAt = newestOf(provedAt, earlierBy(askedAt, ageMs));
    }
  }

  /**
   * A call that started after a peer had a newer version, and did not return that version, was answered from a restored
   * backup: its proof is discarded. A call that started before remains a proof, as the newer version may be in transit.
   */
  function notePeerVersion(
    { version, ageMs }: AnnouncedConfiguration,
    askedAt: ClockReading,
  ): void {
    newestPeerVersion = Math.max(newestPeerVersion, version);
    const peerHeldForMs = ageMsOf(askedAt) + ageMs;
    if (version > ownVersion() && provedAt !== undefined && ageMsOf(provedAt) <= peerHeldForMs) {
      provedAt = undefined;
      ownProvedAt = undefined;
    }
  }

  /**
   * Whether routers that were running before the platform was restored have had time to report a newer configuration
   * than the one in its backup. In the first era there has been no restore, and nothing to wait for.
   */
  function hasCheckedPeers(): boolean {
    const hasWaited = firstAskedAt !== undefined && ageMsOf(firstAskedAt) > firstAnswerWaitMs;
    return isFirstEra() || hasAnswer || hasWaited;
  }

  /**
   * Whether this router may answer the questions of others. Two routers that have both just started would otherwise
   * confirm the configuration of a restored backup to each other and refuse valid keys with a final error, each taking
   * the other for one that was running before. The same holds for a router that knows of a newer configuration and has
   * not yet got it.
   */
  function canVouch(): boolean {
    const hasNewest = isFirstEra() || ownVersion() >= newestPeerVersion;
    return ownVersion() > 0 && hasNewest && hasCheckedPeers();
  }

  function canProve(): boolean {
    return !isUnusable && hasCheckedPeers();
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isNeeded = options.isNeeded();
      if (isNeeded) {
        ask();
      }
      // Until another router has answered, a starting router may know only the configuration of a restored backup.
      const isUrgent = isNeeded && !hasAnswer;
      await delay(isUrgent ? minQuestionGapMs : questionIntervalMs, signal);
    }
  }

  return {
    ...createBackgroundLoop(run),
    noteConfiguration(version) {
      configuration = { version, inForceSince: readClocks() };
    },
    noteProved(startedAt, shownVersion) {
      if (shownVersion < Math.max(ownVersion(), newestPeerVersion)) {
        return;
      }
      // No question is sent before there is a configuration, and the router may have waited long for the store. The
      // first question is sent now, so that other routers have time to answer.
      if (firstAskedAt === undefined) {
        ask();
      }
      provedAt = newestOf(provedAt, startedAt);
      ownProvedAt = newestOf(ownProvedAt, startedAt);
    },
    setUnusable(next) {
      isUnusable = next;
    },
    noteEraChanged() {
      ownProvedAt = undefined;
      restoredAtMs = monotonicNowMs();
    },
    mayLackVersions: () => monotonicNowMs() - restoredAtMs < rewriteMs,
    ageMs: () => (provedAt === undefined || !canProve() ? Infinity : ageMsOf(provedAt)),
    receive(message) {
      if (message.kind === 'question') {
        if (canVouch()) {
          answer(message.senderAddress, message.number);
        }
      } else {
        applyAnswer(message);
      }
    },
    ask,
  };
}
