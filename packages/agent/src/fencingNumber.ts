/** Reads the fencing number of a service's order duty from its lease object on the platform. */
import { okAsync, errAsync, type ResultAsync } from 'neverthrow';
import { objectKinds, type PlatformApi, type PlatformError } from '@bluebellhitch/objects';
import * as z from 'zod';

const leaseValueSchema = z.object({ fencingNumber: z.number().int().nonnegative() });

export function readFencingNumber(
  platform: Pick<PlatformApi, 'get'>,
  service: string,
): ResultAsync<number, PlatformError> {
  return platform
    .get(objectKinds.lease, `orders/${service}`)
    .andThen(({ value }) => {
      const lease = leaseValueSchema.safeParse(value);
      return lease.success
        ? okAsync(lease.data.fencingNumber)
        : errAsync<number, PlatformError>({ kind: 'rejected', detail: 'not a lease object' });
    })
    .orElse((error) =>
      // The lease object does not exist: the duty was never held.
      error.kind === 'not-found' ? okAsync<number, PlatformError>(0) : errAsync(error),
    );
}
