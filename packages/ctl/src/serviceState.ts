/** Reads the state of a service from the platform: its status, accepted generation and quarantines. */
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import * as z from 'zod';
import {
  acceptedDocumentSchema,
  type AcceptedDocument,
  type ServiceDocument,
} from '@bluebellhitch/document';
import { serviceStatusSchema, type ServiceStatus } from '@bluebellhitch/duties';
import { createQuarantine, type QuarantineVerdict } from '@bluebellhitch/decisions';
import {
  objectKinds,
  type ObjectKind,
  type PlatformApi,
  type PlatformError,
} from '@bluebellhitch/objects';

const quarantineRecordSchema = z.object({
  service: z.string(),
  fingerprint: z.string(),
  strikes: z.array(
    z.object({ attemptId: z.string(), instanceId: z.string(), struckAtMs: z.number() }),
  ),
  clearedAttemptIds: z.array(z.string()),
});
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;

/** `undefined` if no status was written yet or its format is unknown. */
export function findStatus(
  platform: PlatformApi,
  service: string,
): ResultAsync<ServiceStatus | undefined, PlatformError> {
  return findValue(platform, objectKinds.status, service, serviceStatusSchema);
}

/** `undefined` if nothing was accepted yet or its format is unknown. */
export function findAccepted(
  platform: PlatformApi,
  service: string,
): ResultAsync<AcceptedDocument | undefined, PlatformError> {
  return findValue(platform, objectKinds.accepted, service, acceptedDocumentSchema);
}

export function listQuarantineRecords(
  platform: PlatformApi,
): ResultAsync<QuarantineRecord[], PlatformError> {
  return platform.list(objectKinds.quarantine).map(({ objects }) =>
    objects.flatMap(({ value }) => {
      const record = quarantineRecordSchema.safeParse(value);
      return record.success ? [record.data] : [];
    }),
  );
}

/** A fingerprint whose requests are refused, or kept apart from each other because they have strikes. */
export interface QuarantineEntry {
  service: string;
  fingerprint: string;
  verdict: QuarantineVerdict;
  /** Backend servers that crashed while they ran a request with this fingerprint. */
  instanceIds: string[];
}

/** Evaluates strikes on the platform by the policy of the accepted document, as the entries do. */
export function evaluateQuarantine(
  { service, quarantine: policy }: ServiceDocument,
  records: readonly QuarantineRecord[],
  nowEpochMs: number,
): QuarantineEntry[] {
  const quarantine = createQuarantine();
  const ofService = records.filter((record) => record.service === service);
  ofService.forEach((record) => quarantine.merge(record, nowEpochMs));
  const fingerprints = new Set([
    ...ofService.map(({ fingerprint }) => fingerprint),
    ...policy.block,
  ]);
  return [...fingerprints]
    .map((fingerprint) => ({
      service,
      fingerprint,
      verdict: quarantine.verdict({ service, fingerprint, policy, nowMs: nowEpochMs }),
      instanceIds: instancesCrashedBy(fingerprint, ofService),
    }))
    .filter(({ verdict }) => verdict.kind !== 'clear');
}

function instancesCrashedBy(fingerprint: string, records: readonly QuarantineRecord[]): string[] {
  const strikes = records.find((record) => record.fingerprint === fingerprint)?.strikes ?? [];
  return [...new Set(strikes.map(({ instanceId }) => instanceId))];
}

function findValue<Value>(
  platform: PlatformApi,
  kind: ObjectKind,
  key: string,
  schema: z.ZodType<Value>,
): ResultAsync<Value | undefined, PlatformError> {
  return platform
    .get(kind, key)
    .map<Value | undefined>(({ value }) => schema.safeParse(value).data)
    .orElse((error) => (error.kind === 'not-found' ? okAsync(undefined) : errAsync(error)));
}
