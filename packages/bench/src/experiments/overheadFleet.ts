/** Fleet and prompts of the overhead experiment. */
import { expectedOutput } from '@bluebellhitch/standins';
import {
  describeFleet,
  engineModelOf,
  institutionNames,
  modelDocumentOf,
  type FleetDescription,
} from '../fleet/fleetDescription';
import type { EngineProfile } from '../fleet/fleetTypes';
import { startBinary, type RunningBinary } from '../fleet/childProcess';
import { backendSpec, startFleet, type Fleet } from '../fleet/startFleet';
import { createText } from '../traffic/promptText';
import type { ExperimentContext } from './context';

/** Decodes at the target time between tokens, with capacity for all streams, so that no request queues. */
export const overheadEngine: EngineProfile = {
  slotCount: 256,
  capacityKvBytes: 4_000_000_000,
  kvBytesPerToken: 1_000,
  stepBaseMs: 28,
  stepPerStreamMs: 0,
  prefillBaseMs: 0,
  prefillMsPerToken: 0.005,
  linkBytesPerSecond: 4_000_000_000,
  exportKeptForMs: 900,
};

const engineCount = 4;
const service = 'draft-models';

export interface OverheadFleet {
  stop(): Promise<void>;
  service: string;
  engineModel: string;
  institution: string;
  callerAddress: string;
  entryAdmin: string;
  /** Engines with the same settings but without an agent, which would cancel streams that it did not start. */
  engineAddresses: string[];
  agentAdmins: string[];
}

/** Starts one entry and four engines that prefill and decode, each with its agent. */
export async function startOverheadFleet(context: ExperimentContext): Promise<OverheadFleet> {
  const description = await describeFleet({
    ...context,
    institution: institutionNames.halloranVoss,
    engine: overheadEngine,
    workers: { [service]: { both: engineCount } },
  });
  const fleet = await startFleet({
    ...context,
    description,
    entryGroups: [{ name: 'default', count: 1, settings: {} }],
  });
  const engines = await startDirectEngines(context, description, fleet);
  const [entry] = fleet.entries;
  return {
    stop: async () => {
      await Promise.all([fleet.stop(), ...engines.map((engine) => engine.stop())]);
    },
    service,
    engineModel: engineModelOf(modelDocumentOf(description)),
    institution: description.institution,
    callerAddress: entry?.callerAddress ?? '',
    entryAdmin: entry?.adminAddress ?? '',
    engineAddresses: engines.map(({ addresses }) => addresses.address ?? ''),
    agentAdmins: fleet.backends().map(({ agentAdminAddress }) => agentAdminAddress),
  };
}

async function startDirectEngines(
  context: ExperimentContext,
  { backends, engine }: FleetDescription,
  fleet: Fleet,
): Promise<RunningBinary[]> {
  const specs = backends.map((backend) => backendSpec(backend, engine));
  const starting = specs.map((spec) =>
    startBinary({ ...spec, name: `${spec.name}-direct` }, context),
  );
  try {
    return await Promise.all(starting);
  } catch (error) {
    await fleet.stop();
    throw error;
  }
}

/** Finds a prompt that is unique to the label and whose output has at least `outputTokens` tokens. */
export function findPromptWithOutput(
  label: string,
  model: string,
  promptTokens: number,
  outputTokens: number,
): string {
  for (let attempt = 0; ; attempt += 1) {
    const prompt = createText(`${label} ${attempt}`, promptTokens);
    if (expectedOutput(prompt, model).tokenCount >= outputTokens) {
      return prompt;
    }
  }
}
