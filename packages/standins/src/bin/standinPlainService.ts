/** `standin-plain-service`: the stand-in plain service as a process. `GET /crash` makes it exit with code 1. */
import * as z from 'zod';
import { exitCodes, loadSettingsOrExit } from '@bluebellhitch/shared';
import { createStandinPlainService } from '../plainService/standinPlainService';
import { listenSettings, serveUntilTerminated, version } from './runStandin';

const settings = await loadSettingsOrExit({
  binaryName: 'standin-plain-service',
  version,
  description: 'A plain service, for tests and development',
  definitions: {
    ...listenSettings,
    serviceTimeMs: {
      schema: z.coerce.number().nonnegative(),
      description: 'Time that a lookup or write takes, in ms.',
      defaultText: '2',
    },
    poisonMarker: {
      schema: z.string().optional(),
      description: 'A write with this text crashes the service; absent: none.',
    },
  },
});

const server = await createStandinPlainService({
  ...settings,
  onCrash: () => process.exit(exitCodes.failure),
});
serveUntilTerminated(server);
