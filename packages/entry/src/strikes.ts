/**
 * Strikes on requests that were in flight on a backend server that died, shared with the other entries:
 * through the platform and, while it is down, by messages to peers, because the caller's next try
 * reaches another entry.
 */
import {
  createQuarantine,
  mergeQuarantineRecords,
  type Quarantine,
  type QuarantineRecord,
  type QuarantineVerdict,
} from '@bluebellhitch/decisions';
import type { ServiceDocument } from '@bluebellhitch/document';
import { objectKinds, type PlatformApi } from '@bluebellhitch/objects';
import type { Strike } from '@bluebellhitch/protocol';
import * as z from 'zod';
import type { Logger } from '@bluebellhitch/telemetry';

export interface StrikesOptions {
  platform: Pick<PlatformApi, 'get' | 'create' | 'update'>;
  /** Sends strikes to peers; used while the platform does not answer. */
  tellPeers: (strikes: Strike[]) => void;
  logger: Logger;
  quarantine?: Quarantine;
  /** Tries of a conditional update that others raced. */
  maxWriteTries?: number;
}

export interface Strikes {
  verdict(document: ServiceDocument, fingerprint: string): QuarantineVerdict;
  /** Servers that a struck request of the service must not join. */
  avoidInstances(service: string): ReadonlySet<string>;
  /** Notes where a struck request runs; the returned function ends the note. */
  place(service: string, attemptId: string, instanceId: string): () => void;
  /** Counts a strike and shares it, in the background. */
  report(strike: Strike): void;
  /** The request completed: earlier strikes were another's fault. */
  clear(service: string, fingerprint: string): void;
  /** Takes in strikes that a peer sent. */
  receive(strikes: readonly Strike[]): void;
  /** Takes in a record from the platform or a relay. */
  mergeRecord(value: unknown): void;
  /** Drops expired records. */
  sweep(): void;
}

const recordSchema = z.object({
  service: z.string(),
  fingerprint: z.string(),
  strikes: z.array(
    z.object({ attemptId: z.string(), instanceId: z.string(), struckAtMs: z.number() }),
  ),
  clearedAttemptIds: z.array(z.string()),
});

/** Creates the strikes of one entry. */
export function createStrikes(options: StrikesOptions): Strikes {
  const { platform, tellPeers, logger, maxWriteTries = 4 } = options;
  const quarantine = options.quarantine ?? createQuarantine();

  function mergeRecord(value: unknown): void {
    const parsed = recordSchema.safeParse(value);
    if (parsed.success) {
      quarantine.merge(parsed.data, Date.now());
    }
  }

  function report(strike: Strike): void {
    if (!quarantine.strike(strike, Date.now())) {
      return;
    }
    logger.warn('backend server died with the request in flight', { ...strike });
    void share(strike.service, strike.fingerprint).then((shared) => {
      if (!shared) {
        tellPeers([strike]);
      }
    });
  }

  /** Merges the local record into the platform's object; false where that was not confirmed. */
  async function share(service: string, fingerprint: string): Promise<boolean> {
    const key = `${service}/${fingerprint}`;
    for (let attempt = 0; attempt < maxWriteTries; attempt += 1) {
      const record = quarantine.record(service, fingerprint);
      if (record === undefined) {
        return true;
      }
      const written = await writeMerged(platform, key, record);
      if (written !== 'raced') {
        return written === 'done';
      }
    }
    return false;
  }

  return {
    verdict: (document, fingerprint) =>
      quarantine.verdict({
        service: document.service,
        fingerprint,
        policy: document.quarantine,
        nowEpochMs: Date.now(),
      }),
    avoidInstances: quarantine.avoidInstances,
    place(service, attemptId, instanceId) {
      quarantine.addPlacement(service, attemptId, instanceId);
      return () => quarantine.removePlacement(attemptId);
    },
    report,
    clear(service, fingerprint) {
      if (quarantine.clear(service, fingerprint)) {
        void share(service, fingerprint);
      }
    },
    receive: (strikes) =>
      strikes.forEach((strike) => {
        quarantine.strike(strike, Date.now());
      }),
    mergeRecord,
    sweep: () => quarantine.sweep(Date.now()),
  };
}

type WriteOutcome = 'done' | 'raced' | 'failed';

async function writeMerged(
  platform: StrikesOptions['platform'],
  key: string,
  record: QuarantineRecord,
): Promise<WriteOutcome> {
  const current = await platform.get(objectKinds.quarantine, key);
  if (current.isErr()) {
    return current.error.kind === 'not-found' ? createObject(platform, key, record) : 'failed';
  }
  const known = recordSchema.safeParse(current.value.value);
  const merged = known.success ? mergeQuarantineRecords(known.data, record) : record;
  const { version } = current.value;
  const updated = await platform.update(objectKinds.quarantine, key, version, merged);
  return updated.match(
    () => 'done' as const,
    (error) => (error.kind === 'conflict' ? 'raced' : 'failed'),
  );
}

async function createObject(
  platform: StrikesOptions['platform'],
  key: string,
  record: QuarantineRecord,
): Promise<WriteOutcome> {
  const created = await platform.create(objectKinds.quarantine, key, record);
  return created.match(
    () => 'done' as const,
    (error) => (error.kind === 'conflict' ? 'raced' : 'failed'),
  );
}
