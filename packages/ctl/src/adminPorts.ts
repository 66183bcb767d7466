/** Queries the admin ports of entries and agents. */
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { AdminError, CtlIo } from './ctlIo';

/** The response of a process to `GET /debug/config`. */
const processConfigSchema = z.object({
  instanceId: z.string(),
  dataCentre: z.string(),
  /** Active generation of the document, by service. */
  generations: z.record(z.string(), z.number()),
});
export type ProcessConfig = z.infer<typeof processConfigSchema>;

export type QueriedProcess =
  | { kind: 'answered'; address: string; config: ProcessConfig }
  | { kind: 'silent'; address: string; detail: string };

const maxConcurrency = 32;

/** The given admin addresses and those in the list of instances, without duplicates. */
export function adminAddresses(
  given: readonly string[],
  instances: readonly PlatformInstance[],
): string[] {
  const listed = instances.flatMap((instance) => listedAddress(instance));
  return [...new Set([...given, ...listed])];
}

export async function fetchConfigs(
  io: CtlIo,
  addresses: readonly string[],
): Promise<QueriedProcess[]> {
  return queryAll(addresses, async (address) =>
    toQueriedProcess(address, await io.readAdmin(address, '/debug/config')),
  );
}

/** Queries all addresses, at most `maxConcurrency` at a time. */
export async function queryAll<Value>(
  addresses: readonly string[],
  query: (address: string) => Promise<Value>,
): Promise<Value[]> {
  if (addresses.length === 0) {
    return [];
  }
  const responses = await Promise.all(addresses.slice(0, maxConcurrency).map(query));
  return [...responses, ...(await queryAll(addresses.slice(maxConcurrency), query))];
}

function listedAddress({ adminAddress }: PlatformInstance): string[] {
  return adminAddress === undefined ? [] : [adminAddress];
}

function toQueriedProcess(address: string, response: Result<unknown, AdminError>): QueriedProcess {
  if (response.isErr()) {
    const detail =
      response.error.kind === 'not-found' ? 'has no /debug/config' : response.error.detail;
    return { kind: 'silent', address, detail };
  }
  const config = processConfigSchema.safeParse(response.value);
  return config.success
    ? { kind: 'answered', address, config: config.data }
    : { kind: 'silent', address, detail: 'returns /debug/config in an unknown format' };
}
