/** Resolves the traffic class of a request. */
import { invariant } from '@bluebellhitch/shared';
import type { ServiceDocument, TrafficClass } from './documentSchema';

/**
 * Returns the class of that name, or the document's first class if the caller names none or an unknown
 * one. In a class with a rate, a missing `burst` is filled in with one second of the rate, at least 1.
 */
export function effectiveClass(document: ServiceDocument, className?: string): TrafficClass {
  const [first] = document.classes;
  invariant(first !== undefined, 'a document has at least one class');
  const found = document.classes.find(({ name }) => name === className) ?? first;
  return found.requestsPerSecond === undefined
    ? found
    : { ...found, burst: found.burst ?? Math.max(1, found.requestsPerSecond) };
}
