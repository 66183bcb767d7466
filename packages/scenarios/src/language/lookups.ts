/** Lookups of a world's parts by the names that a scenario uses. */
import { invariant } from '@bluebellhitch/shared';

export function find<Value>(named: ReadonlyMap<string, Value>, name: string): Value {
  const value = named.get(name);
  invariant(value !== undefined, `there is no ${name}; there are ${[...named.keys()].join(', ')}`);
  return value;
}
