/** Compares texts of documents by their fields; either text may be invalid. */
import {
  diffDocuments,
  parseDocument,
  type DocumentChange,
  type ServiceDocument,
} from '@bluebellhitch/document';
import type { StoredDocument } from './documentObject';

/** `undefined` if the stored text has findings and so cannot be compared by fields. */
export function changesFromStored(
  stored: StoredDocument | undefined,
  document: ServiceDocument,
): DocumentChange[] | undefined {
  if (stored === undefined) {
    return [{ path: 'document', after: 'new' }];
  }
  return parseDocument(stored.text, { format: stored.format })
    .map((parsed) => diffDocuments(parsed.document, document))
    .unwrapOr<DocumentChange[] | undefined>(undefined);
}

/** Changes from one stored text to another; `undefined` if either cannot be compared by fields. */
export function changesBetweenStored(
  before: StoredDocument,
  after: StoredDocument,
): DocumentChange[] | undefined {
  return parseDocument(after.text, { format: after.format })
    .map(({ document }) => changesFromStored(before, document))
    .unwrapOr<DocumentChange[] | undefined>(undefined);
}
