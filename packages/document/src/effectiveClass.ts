/** Which class a request belongs to. */
import { invariant } from '@bluebellhitch/shared';
import type { ServiceDocument, TrafficClass } from './documentSchema';

/**
 * The class of that name, or the document's first where the caller names none or one that the
 * document lacks. A class with a rate has its `burst` filled in: one second of the rate, at least 1.
 */
export function effectiveClass(document: ServiceDocument, className?: string): TrafficClass {
  const [first] = document.classes;
  invariant(first !== undefined, 'a document has at least one class');
  const found = document.classes.find(({ name }) => name === className) ?? first;
  return found.requestsPerSecond === undefined
    ? found
    : { ...found, burst: found.burst ?? Math.max(1, found.requestsPerSecond) };
}
