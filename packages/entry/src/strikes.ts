/**
 * Strikes against requests that were in flight on a backend server that died. They are shared with the
 * other entries, because the caller's next try may reach any of them: through the platform and, while it
 * is down, by messages to the peers.
 */
import {
  createQuarantine,
  type Quarantine,
  type QuarantineVerdict,
} from '@bluebellhitch/decisions';
import type { ServiceDocument } from '@bluebellhitch/document';
import type { PlatformApi } from '@bluebellhitch/objects';
import type { Strike } from '@bluebellhitch/protocol';
import { decodeQuarantineRecord, writeQuarantineRecord } from '@bluebellhitch/routing';
import type { Logger } from '@bluebellhitch/telemetry';

export interface StrikesOptions {
  platform: Pick<PlatformApi, 'get' | 'create' | 'update'>;
  /** Sends strikes to the peers; used while the platform is unavailable. */
  sendToPeers: (strikes: Strike[]) => void;
  logger: Logger;
  quarantine?: Quarantine;
  /** Maximum number of tries of a conditional update that fails because of concurrent writers. */
  maxWriteTries?: number;
}

export interface Strikes {
  verdict(document: ServiceDocument, fingerprint: string): QuarantineVerdict;
  /** Servers of the service on which a further request with strikes must not be placed. */
  avoidInstances(service: string): ReadonlySet<string>;
  /** Records the server on which a request with strikes runs; the returned function removes the record. */
  addPlacement(service: string, attemptId: string, instanceId: string): () => void;
  /** Records a strike and shares it in the background. */
  report(strike: Strike): void;
  /** Call it when the request has completed: another request caused its earlier strikes. */
  clear(service: string, fingerprint: string): void;
  /** Records strikes received from a peer. */
  receive(strikes: readonly Strike[]): void;
  /** Merges a record received from the platform or a relay. */
  mergeRecord(value: unknown): void;
  /** Drops expired records. */
  sweep(): void;
}

/** Creates the strikes of one entry. */
export function createStrikes(options: StrikesOptions): Strikes {
  const { platform, sendToPeers, logger, maxWriteTries = 4 } = options;
  const quarantine = options.quarantine ?? createQuarantine();

  function mergeRecord(value: unknown): void {
    const record = decodeQuarantineRecord(value);
    if (record !== undefined) {
      quarantine.merge(record, Date.now());
    }
  }

  function report(strike: Strike): void {
    if (!quarantine.strike(strike, Date.now())) {
      return;
    }
    logger.warn('backend server died with the request in flight', { ...strike });
    void publish(strike.service, strike.fingerprint).then((isPublished) => {
      if (!isPublished) {
        sendToPeers([strike]);
      }
    });
  }

  /** Merges the local record into the platform's object; false if the write was not confirmed. */
  async function publish(service: string, fingerprint: string): Promise<boolean> {
    const key = `${service}/${fingerprint}`;
    for (let attempt = 0; attempt < maxWriteTries; attempt += 1) {
      const record = quarantine.record(service, fingerprint);
      if (record === undefined) {
        return true;
      }
      const written = await writeQuarantineRecord(platform, key, record);
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
        nowMs: Date.now(),
      }),
    avoidInstances: quarantine.avoidInstances,
    addPlacement(service, attemptId, instanceId) {
      quarantine.addPlacement(service, attemptId, instanceId);
      return () => quarantine.removePlacement(attemptId);
    },
    report,
    clear(service, fingerprint) {
      if (quarantine.clear(service, fingerprint)) {
        void publish(service, fingerprint);
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
