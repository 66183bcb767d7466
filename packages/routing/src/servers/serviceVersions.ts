/**
 * The software versions that may have begun streams of each service, on record in the platform's store. Where several
 * serve, routers begin streams at a version only once it is on record. By one read of the record, a router that has just started or was cut
 * off knows whether a stream that no router remembers can have begun at only one version: its own list of servers may
 * lack versions that came or left meanwhile.
 */
import type { ObjectApi } from '@bluebellhitch/objects';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
  type Random,
  createSharedRead,
  type SharedRead,
} from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { BackendServer } from '../model';
import type { MovedRoute } from '../movedRoutes';
import type { ServerDirectory } from './serverDirectory';
import { changeVersionRecord, readVersionRecord, type VersionRecord } from './versionRecords';

export interface ServiceVersions extends BackgroundLoop {
  /** To be called when the server is listed for the first time. */
  noteServer(server: BackendServer): void;
  /** The configuration has moved routes: streams that began at one service are taken up at another one. */
  noteMoved(moved: readonly MovedRoute[]): void;
  /** Whether streams may begin at the server: its version is on record, or is the only one known so far. */
  mayBegin(server: BackendServer): boolean;
  /** Whether streams of several versions of the service may be in progress, as far as this router knows. */
  hasSeveral(serviceName: string): boolean;
  /** The only version that may have begun streams of the service. */
  onlyVersion(serviceName: string): Promise<OnlyVersion>;
  /** The store was restored from a backup: the record may lack versions. */
  noteStoreRestored(): void;
}

export type OnlyVersion =
  | { kind: 'known'; softwareVersion: string }
  /** Several versions may have begun streams, or it is not known whether only one has. */
  | { kind: 'unknown'; reason: UnknownVersionReason };

export const unknownVersionReasons = {
  severalServices: 'several-services',
  severalListed: 'several-listed',
  severalRecorded: 'several-recorded',
  notRecorded: 'not-recorded',
  recordUnread: 'record-unread',
  storeRestored: 'store-restored',
} as const;
export type UnknownVersionReason =
  (typeof unknownVersionReasons)[keyof typeof unknownVersionReasons];

export interface ServiceVersionsOptions {
  objects: Pick<ObjectApi, 'get' | 'create' | 'update'>;
  directory: Pick<ServerDirectory, 'all' | 'softwareVersions'>;
  /** All known routers, this one included. */
  routerCount: () => number;
  logger: Logger;
  random?: Random;
}

interface VersionState {
  isRecorded: boolean;
  firstListedAtMs: number;
  /** Updated while servers of the version are listed. */
  lastListedAtMs: number;
  /** When a read of the record first found the version there though it had left; see `retirementDelayMs`. */
  leftSinceMs?: number;
  /** It began streams at another service, whose route was moved to this one. */
  isMoved?: boolean;
}

/** Stands in where no caller resumes a stream. */
export const noServiceVersions: Pick<ServiceVersions, 'onlyVersion'> = {
  onlyVersion: () => Promise.resolve(unknownVersion(unknownVersionReasons.notRecorded)),
};

/** Streams may begin at a version after this time though the store has not accepted it: rather that than no servers. */
const recordGraceMs = 3_000;
/** A stream ends, and its caller has returned, within this time after the last server of its version has left. */
const retentionMs = 120_000;
/** After a read has shown that the store can be reached, a router has caught up with the list within this time. */
const retirementDelayMs = 40_000;
const checkIntervalMs = 1_000;
const retryMs = 300;
/** Spreads the routers' writes, so that the first one spares the others theirs. */
const spreadPerRouterMs = 10;
const maxSpreadMs = 1_500;
/** How long a caller waits for the store. */
const readTimeoutMs = 500;
/** Time in which routers record their versions again after a restore; the server directory allows as much. */
const restoreGraceMs = 10_000;

export function createServiceVersions(options: ServiceVersionsOptions): ServiceVersions {
  const { objects, directory, routerCount, logger, random = Math.random } = options;
  /** By service and version. */
  const services = new Map<string, Map<string, VersionState>>();
  const reads = new Map<string, SharedRead<VersionRecord>>();
  let restoredAtMs = -Infinity;
  let isWakeDue = false;
  let endPause: () => void = () => undefined;

  function stateOf(serviceName: string, version: string): VersionState {
    const states = services.get(serviceName) ?? new Map<string, VersionState>();
    services.set(serviceName, states);
    const nowMs = monotonicNowMs();
    const state = states.get(version) ?? {
      isRecorded: false,
      firstListedAtMs: nowMs,
      lastListedAtMs: nowMs,
    };
    states.set(version, state);
    return state;
  }

  function noteListed({ serviceName, softwareVersion }: BackendServer): void {
    const nowMs = monotonicNowMs();
    const state = stateOf(serviceName, softwareVersion);
    // Another router may have retired a version that was away for so long.
    state.isRecorded &&= nowMs - state.lastListedAtMs < retentionMs;
    state.lastListedAtMs = nowMs;
    state.leftSinceMs = undefined;
  }

  function noteMovedBetween(from: string, to: string): void {
    [...(services.get(from)?.keys() ?? [])].forEach((version) => {
      const state = stateOf(to, version);
      const moved = { isMoved: true, lastListedAtMs: monotonicNowMs(), leftSinceMs: undefined };
      Object.assign(state, moved);
    });
  }

  function movedVersions(serviceName: string): string[] {
    return [...(services.get(serviceName) ?? [])]
      .filter(([, { isMoved }]) => isMoved)
      .map(([version]) => version);
  }

  async function recordMissing(serviceName: string, signal: AbortSignal): Promise<void> {
    const listed = [...directory.softwareVersions(serviceName), ...movedVersions(serviceName)];
    const unrecorded = () => listed.filter((version) => !stateOf(serviceName, version).isRecorded);
    if (unrecorded().length === 0) {
      return;
    }
    await read(serviceName);
    if (unrecorded().length === 0) {
      return;
    }
    await delay(random() * Math.min(maxSpreadMs, spreadPerRouterMs * routerCount()), signal);
    await change(serviceName, (recorded) => [...new Set([...recorded, ...listed])]);
  }

  async function retireLeft(serviceName: string): Promise<void> {
    const nowMs = monotonicNowMs();
    const left = [...(services.get(serviceName) ?? [])].filter(
      ([, { lastListedAtMs }]) => nowMs - lastListedAtMs >= retentionMs,
    );
    if (left.some(([, { leftSinceMs }]) => leftSinceMs === undefined)) {
      if (await read(serviceName)) {
        left.forEach(([, state]) => {
          state.leftSinceMs ??= monotonicNowMs() + random() * retirementDelayMs;
        });
      }
      return;
    }
    const due = left
      .filter(([, { leftSinceMs = Infinity }]) => nowMs - leftSinceMs >= retirementDelayMs)
      .map(([version]) => version);
    if (due.length > 0) {
      const isRetired = await change(serviceName, (recorded) =>
        recorded.filter((one) => !due.includes(one)),
      );
      if (isRetired) {
        due.forEach((version) => services.get(serviceName)?.delete(version));
        logger.info('software versions retired', { service: serviceName, versions: due });
      }
    }
  }

  /** Reads the record; false if the store does not answer. */
  async function read(serviceName: string): Promise<boolean> {
    const record = await readVersionRecord(objects, serviceName);
    if (record.kind === 'failed') {
      return false;
    }
    noteRecorded(serviceName, record.versions);
    return true;
  }

  /** Changes the record; false if the store does not answer or another router was faster. */
  async function change(
    serviceName: string,
    next: (recorded: readonly string[]) => string[],
  ): Promise<boolean> {
    const record = await changeVersionRecord(objects, serviceName, next);
    if (record.kind === 'known') {
      noteRecorded(serviceName, record.versions);
      logger.info('software versions recorded', {
        service: serviceName,
        versions: record.versions,
      });
    }
    return record.kind === 'known';
  }

  function noteRecorded(serviceName: string, versions: readonly string[]): void {
    versions.forEach((version) => {
      stateOf(serviceName, version).isRecorded = true;
    });
  }

  const loop = createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      directory.all().filter(isEngine).forEach(noteListed);
      const names = [...services.keys()];
      await Promise.all(names.map((name) => recordMissing(name, signal)));
      await Promise.all(names.map(retireLeft));
      await pause(signal);
    }
  });

  function isOnRecord({ serviceName, softwareVersion }: BackendServer): boolean {
    return stateOf(serviceName, softwareVersion).isRecorded;
  }

  function hasWaitedForRecord({ serviceName, softwareVersion }: BackendServer): boolean {
    const { firstListedAtMs } = stateOf(serviceName, softwareVersion);
    return monotonicNowMs() - firstListedAtMs >= recordGraceMs;
  }

  /** Makes the loop check at once, or once more if it is checking. */
  function wake(): void {
    isWakeDue = true;
    endPause();
  }

  async function pause(signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    endPause = () => woken.abort();
    const isComplete = directory.all().every((server) => !isEngine(server) || isOnRecord(server));
    if (!isWakeDue) {
      const durationMs = isComplete ? checkIntervalMs : retryMs * (1 + random());
      await delay(durationMs, AbortSignal.any([signal, woken.signal]));
    }
    isWakeDue = false;
  }

  async function onlyVersion(serviceName: string): Promise<OnlyVersion> {
    const listed = directory.softwareVersions(serviceName);
    if (listed.length > 1) {
      return unknownVersion(unknownVersionReasons.severalListed);
    }
    if (monotonicNowMs() - restoredAtMs < restoreGraceMs) {
      return unknownVersion(unknownVersionReasons.storeRestored);
    }
    const shared = reads.get(serviceName) ?? createSharedRead(() => readRecord(serviceName));
    reads.set(serviceName, shared);
    const record = await shared();
    return record.kind === 'failed'
      ? unknownVersion(unknownVersionReasons.recordUnread)
      : onlyVersionOf(record.versions, listed);
  }

  function readRecord(serviceName: string): Promise<VersionRecord> {
    const timeout = delay(readTimeoutMs).then(() => ({ kind: 'failed' }) as const);
    return Promise.race([readVersionRecord(objects, serviceName), timeout]);
  }

  return {
    start: loop.start,
    stop: loop.stop,
    noteServer(server) {
      if (isEngine(server)) {
        noteListed(server);
        if (!isOnRecord(server)) {
          wake();
        }
      }
    },
    noteMoved(moved) {
      moved.forEach(({ from, to }) =>
        from
          .filter((service) => !to.includes(service))
          .forEach((left) => to.forEach((next) => noteMovedBetween(left, next))),
      );
      wake();
    },
    mayBegin: (server) =>
      !isEngine(server) ||
      isOnRecord(server) ||
      services.get(server.serviceName)?.size === 1 ||
      hasWaitedForRecord(server),
    hasSeveral: (serviceName) => (services.get(serviceName)?.size ?? 0) > 1,
    onlyVersion,
    noteStoreRestored() {
      restoredAtMs = monotonicNowMs();
      [...services.values()].forEach((states) =>
        states.forEach((state) => {
          state.isRecorded = false;
        }),
      );
      wake();
    },
  };
}

/** Only engines write streams. */
function isEngine({ stage }: BackendServer): boolean {
  return stage !== undefined;
}

function unknownVersion(reason: UnknownVersionReason): OnlyVersion {
  return { kind: 'unknown', reason };
}

function onlyVersionOf(recorded: readonly string[], listed: readonly string[]): OnlyVersion {
  const [softwareVersion, ...others] = new Set([...recorded, ...listed]);
  if (recorded.length === 0 || softwareVersion === undefined) {
    return unknownVersion(unknownVersionReasons.notRecorded);
  }
  return others.length === 0
    ? { kind: 'known', softwareVersion }
    : unknownVersion(unknownVersionReasons.severalRecorded);
}
