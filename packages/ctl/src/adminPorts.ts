/** What processes themselves say on their admin ports. */
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { AdminError, CtlIo } from './ctlIo';

/** A process's answer to `/debug/config`. */
const processConfigSchema = z.object({
  instanceId: z.string(),
  dataCentre: z.string(),
  /** Generation in force, by service. */
  generations: z.record(z.string(), z.number()),
});
export type ProcessConfig = z.infer<typeof processConfigSchema>;

export type AskedProcess =
  | { kind: 'answered'; address: string; config: ProcessConfig }
  | { kind: 'silent'; address: string; detail: string };

const concurrency = 32;

/** Admin addresses given by hand and those that the list of instances knows, each once. */
export function adminAddresses(
  given: readonly string[],
  instances: readonly PlatformInstance[],
): string[] {
  const listed = instances.flatMap((instance) => listedAddress(instance));
  return [...new Set([...given, ...listed])];
}

export async function askConfigs(io: CtlIo, addresses: readonly string[]): Promise<AskedProcess[]> {
  return askAll(addresses, async (address) =>
    toAskedProcess(address, await io.readAdmin(address, '/debug/config')),
  );
}

/** Asks all addresses, a bounded number at once. */
export async function askAll<Answer>(
  addresses: readonly string[],
  ask: (address: string) => Promise<Answer>,
): Promise<Answer[]> {
  if (addresses.length === 0) {
    return [];
  }
  const answers = await Promise.all(addresses.slice(0, concurrency).map(ask));
  return [...answers, ...(await askAll(addresses.slice(concurrency), ask))];
}

function listedAddress({ adminAddress }: PlatformInstance): string[] {
  return adminAddress === undefined ? [] : [adminAddress];
}

function toAskedProcess(address: string, answer: Result<unknown, AdminError>): AskedProcess {
  if (answer.isErr()) {
    const detail = answer.error.kind === 'not-found' ? 'has no /debug/config' : answer.error.detail;
    return { kind: 'silent', address, detail };
  }
  const config = processConfigSchema.safeParse(answer.value);
  return config.success
    ? { kind: 'answered', address, config: config.data }
    : { kind: 'silent', address, detail: 'answers /debug/config in an unknown form' };
}
