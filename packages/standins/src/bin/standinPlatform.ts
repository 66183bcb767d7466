/** `standin-platform`: the stand-in platform as a process, for the quickstart, scenarios and benchmarks. */
import * as z from 'zod';
import { exitCodes, loadSettingsOrExit } from '@bluebellhitch/shared';
import { startStandinPlatform } from '../platform/startStandinPlatform';

const durationMs = z.coerce.number().nonnegative();
const ratePerSecond = z.coerce.number().positive();

const settings = await loadSettingsOrExit({
  binaryName: 'standinPlatform',
  version: '0.1.0',
  description: 'Stand-in of the platform: objects, watches, the list of instances and faults.',
  definitions: {
    host: { schema: z.string(), description: 'Address to listen on.', defaultText: '127.0.0.1' },
    port: {
      schema: z.coerce.number().int().min(0).max(65_535),
      description: 'Port to listen on; 0 takes a free one.',
      defaultText: '0',
    },
    writesPerSecond: {
      schema: ratePerSecond,
      description: 'Writes allowed a second.',
      defaultText: '400',
    },
    readsPerSecond: {
      schema: ratePerSecond,
      description: 'Reads allowed a second; a waiting watch counts as one.',
      defaultText: '2000',
    },
    latencyMs: { schema: durationMs, description: 'Time of a call, in ms.', defaultText: '3' },
    jitterMs: { schema: durationMs, description: 'Random addition, in ms.', defaultText: '1' },
    instanceLagMs: {
      schema: durationMs,
      description: 'Age of the list of instances, in ms.',
      defaultText: '2000',
    },
    eventLogLimit: {
      schema: z.coerce.number().int().positive(),
      description: 'Events kept for watches.',
      defaultText: '10000',
    },
  },
});

const running = await startStandinPlatform(settings);
process.stdout.write(
  `${JSON.stringify({ message: 'listening', context: { address: running.address } })}\n`,
);

const stop = () => {
  void running.close().then(() => process.exit(exitCodes.ok));
};
process.once('SIGTERM', stop);
process.once('SIGINT', stop);
