/**
 * Keeps a copy of the objects of one kind: lists them once, then watches. A watch that is waiting does not show
 * that its connection went silent. So each is short, or, where other processes follow the same objects, as long
 * as those make up for: one that learns of a newer revision elsewhere gives its watch up for a new one.
 *
 * Where others tell what changed, a process may leave the watching to them: it asks the platform only where it has
 * missed a change, where it has heard nothing for a moment, and now and then to check. With 18 routers, three of which
 * tell the rest, a quiet minute takes 360 calls instead of 827.
 *
 * Revisions are positions: of a later era of the platform, each is later than any before, whether it is seen here or told.
 * What a process knows of an earlier era is listed anew; nothing of an earlier era changes anything.
 */
import { ok, type Result } from 'neverthrow';
import type {
  ObjectApi,
  ObjectKind,
  PlatformError,
  StoredObject,
  WatchEvent,
} from '@bluebellhitch/objects';
import {
  eraOf,
  storePosition,
  type StorePosition,
  type ToldChange,
  type ToldChanges,
} from '@bluebellhitch/protocol';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  readClocks,
  type BackgroundLoop,
  type ClockReading,
  type Random,
} from '@bluebellhitch/shared';

/** What a watch has shown, to be told to others. */
export type SeenChanges = Omit<ToldChanges, 'kindIndex'>;

export interface ObjectFollowerOptions {
  store: ObjectApi;
  kind: ObjectKind;
  /** Longest time of the next watch. */
  watchWaitMs: () => number;
  /** The whole list, at the start and when the store has dropped its history. */
  onListed(objects: readonly StoredObject[]): void;
  onEvent(event: WatchEvent): void;
  /** The store stopped answering. */
  onLost(error: PlatformError): void;
  /** The store answers again, or for the first time; another process may have noticed, so long ago. */
  onBack(agoMs: number): void;
  /** The store has come back from an older copy: the list that follows may be older than what is known. */
  onEraRisen?: (era: number) => void;
  /** An answer of the store has been applied. */
  onSeen?: (seen: SeenChanges) => void;
  /** Whether others watch for this process. */
  isToldByOthers?: () => boolean;
  /** News of others count this long; then this process asks for itself. */
  newsLifetimeMs?: () => number;
  /** A call that began then has shown all changes up to that moment. */
  onProved?: (begun: ClockReading) => void;
  /** For how long this process need not prove for itself that nothing is missing. */
  proofLeftMs?: () => number;
  random?: Random;
  firstRetryMs?: number;
  retryLimitMs?: number;
}

export interface ObjectFollower extends BackgroundLoop {
  /** The newest revision of an object of the kind that was seen; 0 before the first. */
  seenRevision(): StorePosition;
  /** Another process has seen a newer one. */
  isBehind(): boolean;
  /** Another process has seen this revision. */
  noteRevisionElsewhere(revision: StorePosition): void;
  /** Another process tells what its watch has shown. */
  noteTold(told: SeenChanges): void;
  /** Asks the store at once. */
  refresh(): void;
}

/** Short against the bounds for changes, which hold seconds after the store is back. */
const defaultFirstRetryMs = 100;
const defaultRetryLimitMs = 500;
const shortestWaitMs = 1;
const behindMs = 250;
/**
 * Changes come in bursts: those of this time after one are fetched by one call. A small part of the seconds within which
 * a change must be in force.
 */
const gatherMs = 150;
/** Others that tell too little, or nothing of some objects, are found out within this time. */
const checkMs = 60_000;
/** A return of the store that is longer ago means nothing any more. */
const returnLifetimeMs = 10_000;

export function createObjectFollower(options: ObjectFollowerOptions): ObjectFollower {
  const { store, kind, watchWaitMs, random = Math.random } = options;
  const { firstRetryMs = defaultFirstRetryMs, retryLimitMs = defaultRetryLimitMs } = options;
  const { onSeen = () => undefined, isToldByOthers = () => false } = options;
  const { newsLifetimeMs = () => 0, proofLeftMs = () => Infinity } = options;
  const { onProved = () => undefined, onEraRisen = () => undefined } = options;
  /** Everything up to this revision of the store is known; undefined before the first list. */
  let cursor: string | undefined;
  /** Of the last list. */
  let listedEra: number | undefined;
  /** When the store, here or at others, last showed that nothing is missing. */
  let currentAtMs = -Infinity;
  let askedAtMs = -Infinity;
  let returnedAtMs = -Infinity;
  let isBack = false;
  /** The store has failed since it last answered. */
  let hasFailed = false;
  let seenRevision = 0;
  let revisionElsewhere = 0;
  let isRefreshDue = false;
  let hadEvents = false;
  /** A watch that waits for a change; a call that is answered at once is left to its own time-out. */
  let waitingWatch: AbortController | undefined;
  let behindTimer: NodeJS.Timeout | undefined;
  let wake: () => void = () => undefined;

  async function list(signal: AbortSignal): Promise<Result<void, PlatformError>> {
    const begun = readClocks();
    const heardOf = revisionElsewhere;
    const listed = await store.list(kind);
    noteAnswer(listed, signal);
    return listed.map(({ objects, cursor: from }) => {
      noteEra(eraOf(Number(from)));
      objects.forEach(({ version }) => noteRevision(version));
      options.onListed(objects);
      cursor = from;
      noteProved(begun, heardOf);
      noteCurrent(from, from, []);
    });
  }

  /** A store that was away so briefly that no call failed has lost entries all the same. */
  function noteEra(era: number): void {
    if (listedEra !== undefined && era > listedEra) {
      returnedAtMs = monotonicNowMs();
      options.onBack(0);
      onEraRisen(era);
    }
    listedEra = era;
    noteRevision(storePosition(era, 0));
  }

  async function watch(from: string, signal: AbortSignal): Promise<Result<void, PlatformError>> {
    // After an outage the first watch does not wait: its answer tells that the store is back, and what is
    // held back for the outage must not be held for the length of a watch longer.
    const waitMs = isBack && !isRefreshDue && !isCheckDue() ? watchWaitMs() : shortestWaitMs;
    isRefreshDue = false;
    hadEvents = false;
    const givenUp = new AbortController();
    waitingWatch = waitMs > shortestWaitMs ? givenUp : undefined;
    const either = AbortSignal.any([signal, givenUp.signal]);
    const begun = readClocks();
    const heardOf = revisionElsewhere;
    const reply = await store.watch(kind, from, waitMs, either);
    if (givenUp.signal.aborted) {
      return ok(undefined);
    }
    noteAnswer(reply, signal);
    return reply.map(({ events, cursor: next, compacted }) => {
      hadEvents = events.length > 0;
      if (compacted) {
        cursor = undefined;
        return;
      }
      apply(from, next, events);
      noteProved(begun, heardOf);
      noteCurrent(from, next, events);
    });
  }

  /** What was heard of before a call that does not show it was false news. */
  function noteProved(begun: ClockReading, heardOf: StorePosition): void {
    if (revisionElsewhere === heardOf) {
      revisionElsewhere = seenRevision;
    }
    onProved(begun);
  }

  function noteCurrent(from: string, to: string, events: readonly WatchEvent[]): void {
    const nowMs = monotonicNowMs();
    currentAtMs = nowMs;
    askedAtMs = nowMs;
    const backAgeMs = nowMs - returnedAtMs;
    onSeen({
      fromRevision: Number(from),
      toRevision: Number(to),
      changes: events.map(toldChange),
      ageMs: 0,
      backAgeMs: backAgeMs < returnLifetimeMs ? backAgeMs : undefined,
    });
  }

  /**
   * Takes all changes between two revisions of the store, where none before is missing. Others may have told of some of
   * them: what is known is passed over, unless an object was removed, for a removal may bear an old revision; then all is
   * repeated in its order.
   */
  function apply(from: string, to: string, events: readonly WatchEvent[]): void {
    const known = Number(cursor);
    if (cursor === undefined || (Number(to) <= known && from !== cursor)) {
      return;
    }
    const isPartlyKnown =
      Number(from) < known && !events.some(({ kind: what }) => what === 'removed');
    events.filter((event) => !isPartlyKnown || versionOf(event) > known).forEach(applyEvent);
    cursor = to;
  }

  function applyEvent(event: WatchEvent): void {
    noteRevision(versionOf(event));
    options.onEvent(event);
  }

  function noteRevision(revision: StorePosition): void {
    seenRevision = Math.max(seenRevision, revision);
  }

  /**
   * Gives up a watch that waits: its connection may be silent. The call that follows is not given up, however
   * often peers say that they are ahead: on a thin link its answer may take seconds, and would never be read.
   */
  function refresh(): void {
    isRefreshDue = true;
    waitingWatch?.abort();
    wake();
  }

  /** The change may be on its way here as well: a moment's patience saves a call. */
  function noteBehind(isStillBehind: () => boolean): void {
    if (behindTimer !== undefined) {
      return;
    }
    behindTimer = setTimeout(() => {
      behindTimer = undefined;
      if (isStillBehind()) {
        refresh();
      }
    }, behindMs);
    behindTimer.unref();
  }

  function noteRevisionElsewhere(revision: StorePosition): void {
    revisionElsewhere = Math.max(revisionElsewhere, revision);
    if (revision > seenRevision) {
      noteBehind(() => revision > seenRevision);
    }
  }

  function noteTold({ fromRevision, toRevision, changes, ageMs, backAgeMs }: SeenChanges): void {
    if (cursor === undefined || toRevision < Number(cursor)) {
      return;
    }
    if (fromRevision > Number(cursor)) {
      noteBehind(() => cursor !== undefined && fromRevision > Number(cursor));
      return;
    }
    const nowMs = monotonicNowMs();
    if (backAgeMs !== undefined && nowMs - backAgeMs > returnedAtMs) {
      returnedAtMs = nowMs - backAgeMs;
      options.onBack(backAgeMs);
    }
    apply(
      String(fromRevision),
      String(toRevision),
      changes.map((change) => watchEvent(kind, change)),
    );
    currentAtMs = Math.max(currentAtMs, nowMs - ageMs);
  }

  /** Before the answer is applied: a removal in it counts differently right after an outage. */
  function noteAnswer(answer: Result<unknown, PlatformError>, signal: AbortSignal): void {
    if (answer.isOk()) {
      noteReturn();
    } else if (!signal.aborted) {
      hasFailed = true;
      noteLoss(answer.error);
    }
  }

  /** The first answer of a process that starts is no return, and others are not told of one. */
  function noteReturn(): void {
    if (hasFailed) {
      hasFailed = false;
      returnedAtMs = monotonicNowMs();
    }
    if (!isBack) {
      isBack = true;
      options.onBack(0);
    }
  }

  function noteLoss(error: PlatformError): void {
    if (isBack) {
      isBack = false;
      options.onLost(error);
    }
  }

  /** How long the platform need not be asked, as others have told enough. */
  function restMs(): number {
    const mayRest = cursor !== undefined && isBack && !isRefreshDue && isToldByOthers();
    const checkLeftMs = askedAtMs + checkMs - monotonicNowMs();
    return mayRest ? Math.min(newsLeftMs(), checkLeftMs, proofLeftMs()) : 0;
  }

  function newsLeftMs(): number {
    return currentAtMs + newsLifetimeMs() - monotonicNowMs();
  }

  /** Others still tell what changes: the answer shows only whether that is all. */
  function isCheckDue(): boolean {
    return isToldByOthers() && newsLeftMs() > 0;
  }

  async function rest(forMs: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    wake = () => woken.abort();
    await delay(forMs, AbortSignal.any([signal, woken.signal]));
    wake = () => undefined;
  }

  async function run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      const forMs = restMs();
      if (forMs > 0) {
        await rest(forMs, signal);
      } else {
        const next = await (cursor === undefined ? list(signal) : watch(cursor, signal));
        failures = next.isOk() ? 0 : failures + 1;
        await delay(next.isOk() ? gatherLeftMs() : pauseMs(failures - 1), signal);
      }
    }
  }

  function gatherLeftMs(): number {
    return hadEvents ? gatherMs : 0;
  }

  function pauseMs(failures: number): number {
    const ceilingMs = Math.min(retryLimitMs, firstRetryMs * 2 ** failures);
    return ceilingMs * (0.5 + 0.5 * random());
  }

  return {
    ...createBackgroundLoop(run),
    seenRevision: () => seenRevision,
    isBehind: () => revisionElsewhere > seenRevision,
    noteRevisionElsewhere,
    noteTold,
    refresh,
  };
}

function versionOf(event: WatchEvent): StorePosition {
  return event.kind === 'put' ? event.object.version : event.version;
}

function toldChange(event: WatchEvent): ToldChange {
  return event.kind === 'removed'
    ? { kind: 'removed', key: event.key, revision: event.version }
    : {
        kind: 'put',
        key: event.object.key,
        revision: event.object.version,
        value: event.object.value,
      };
}

function watchEvent(kind: ObjectKind, change: ToldChange): WatchEvent {
  const { key, revision } = change;
  return change.kind === 'removed'
    ? { kind: 'removed', key, version: revision }
    : { kind: 'put', object: { kind, key, version: revision, value: change.value } };
}
