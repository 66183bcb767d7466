/** Bounds the nesting of values that others have written: writing JSON is recursive, and fails on a deep one. */

/** Objects of the platform have a few levels. */
const maxObjectDepth = 32;
/** Whether no object of the value is nested so deeply that it could not be written as JSON. */
export function canEncode(value: unknown, depth: number = maxObjectDepth): boolean {
  if (typeof value !== 'object' || value === null) {
    return true;
  }
  return depth > 0 && Object.values(value).every((inner) => canEncode(inner, depth - 1));
}
