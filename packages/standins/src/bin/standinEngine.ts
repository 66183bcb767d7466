/** `standin-engine`: the stand-in engine as a process. A poison prompt makes it exit with code 1. */
import * as z from 'zod';
import { workerRoleSchema } from '@bluebellhitch/protocol';
import { exitCodes, loadSettingsOrExit } from '@bluebellhitch/shared';
import { createStandinEngineServer } from '../engine/standinEngineServer';
import { createWeightReader } from '../weightStore/weightReader';
import { booleanSetting, listenSettings, serveUntilTerminated, version } from './runStandin';

const count = z.coerce.number().int().positive();
const amount = z.coerce.number().nonnegative();

const modelList = z.string().transform((text) =>
  text
    .split(',')
    .filter((item) => item !== '')
    .map((item) => {
      const [model = item, modelVersion = '1'] = item.split('@');
      return { model, version: modelVersion };
    }),
);

const settings = await loadSettingsOrExit({
  binaryName: 'standin-engine',
  version,
  description: 'A model engine without a model, for tests and development',
  definitions: {
    ...listenSettings,
    role: { schema: workerRoleSchema, description: 'Role at the start.', defaultText: 'both' },
    models: {
      schema: modelList,
      description: 'Models loaded from the start: name@version, separated by commas.',
      defaultText: 'standin-model@1',
    },
    slotCount: { schema: count, description: 'Upper bound of the batch.', defaultText: '20' },
    capacityKvBytes: {
      schema: count,
      description: 'Memory for KV cache, in bytes.',
      defaultText: '7220000000',
    },
    kvBytesPerToken: { schema: count, description: 'KV cache of a token.', defaultText: '131072' },
    stepBaseMs: { schema: amount, description: 'Time of a decode step, in ms.', defaultText: '9' },
    stepPerStreamMs: {
      schema: amount,
      description: 'What each stream adds to a step, in ms.',
      defaultText: '0.1',
    },
    prefillBaseMs: { schema: amount, description: 'Least time of a prefill.', defaultText: '20' },
    prefillMsPerToken: {
      schema: amount,
      description: 'Prefill time of an uncached prompt token, in ms.',
      defaultText: '0.2',
    },
    exportKeptForMs: {
      schema: amount,
      description: 'How long the result of a prefill is kept, in ms.',
      defaultText: '900',
    },
    linkBytesPerSecond: {
      schema: count,
      description: 'Rate of the link for KV cache, in bytes per second.',
      defaultText: '4000000000',
    },
    checkFencing: {
      schema: booleanSetting,
      description: 'Whether orders with an old fencing number are refused.',
      defaultText: 'false',
    },
    cancelOnDisconnect: {
      schema: booleanSetting,
      description: 'Whether a closed connection cancels its work.',
      defaultText: 'false',
    },
    poisonMarker: {
      schema: z.string().optional(),
      description: 'A prompt with this text crashes the engine; absent: none.',
    },
    weightStore: {
      schema: z.url().optional(),
      description: 'Address of the weight store; absent: loads take a fixed time.',
    },
    seed: { schema: z.coerce.number().int(), description: 'Seed of randomness.', defaultText: '1' },
  },
});

const { weightStore, ...options } = settings;
const server = await createStandinEngineServer({
  ...options,
  ...(weightStore === undefined ? {} : { readWeights: createWeightReader(weightStore) }),
  onCrash: () => process.exit(exitCodes.failure),
});
serveUntilTerminated(server);
