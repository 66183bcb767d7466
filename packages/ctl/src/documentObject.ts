/** Reads and writes the `document` object of a service on the platform: the text as its author wrote it. */
import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from 'neverthrow';
import * as z from 'zod';
import {
  objectKinds,
  type PlatformApi,
  type PlatformError,
  type StoredObject,
} from '@bluebellhitch/objects';

const documentValueSchema = z.object({
  text: z.string(),
  format: z.enum(['yaml', 'json']).default('yaml'),
});
export type DocumentValue = z.infer<typeof documentValueSchema>;

export interface StoredDocument extends DocumentValue {
  service: string;
  version: number;
}

export function readStoredDocument(
  platform: PlatformApi,
  service: string,
): ResultAsync<StoredDocument, PlatformError> {
  return platform.get(objectKinds.document, service).andThen(toStoredDocument);
}

/** `undefined` if the platform has no such document. */
export function findStoredDocument(
  platform: PlatformApi,
  service: string,
): ResultAsync<StoredDocument | undefined, PlatformError> {
  return readStoredDocument(platform, service)
    .map<StoredDocument | undefined>((document) => document)
    .orElse((error) => (error.kind === 'not-found' ? okAsync(undefined) : errAsync(error)));
}

export function listStoredDocuments(
  platform: PlatformApi,
): ResultAsync<StoredDocument[], PlatformError> {
  return platform.list(objectKinds.document).map(({ objects }) =>
    objects.flatMap((object) =>
      toStoredDocument(object)
        .map((document) => [document])
        .unwrapOr([]),
    ),
  );
}

/** Writes only if the platform still has `version`; 0 means that there is no document yet. */
export function writeDocument(
  platform: PlatformApi,
  service: string,
  version: number,
  value: DocumentValue,
): ResultAsync<StoredObject, PlatformError> {
  return version === 0
    ? platform.create(objectKinds.document, service, value)
    : platform.update(objectKinds.document, service, version, value);
}

function toStoredDocument(object: StoredObject): Result<StoredDocument, PlatformError> {
  const value = documentValueSchema.safeParse(object.value);
  return value.success
    ? ok({ service: object.key, version: object.version, ...value.data })
    : err({ kind: 'rejected', detail: `the document object of ${object.key} is unreadable` });
}
