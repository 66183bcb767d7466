/** `standin-weight-store`: the stand-in weight store as a process. */
import * as z from 'zod';
import { loadSettingsOrExit } from '@bluebellhitch/shared';
import { createStandinWeightStore } from '../weightStore/standinWeightStore';
import { listenSettings, serveUntilTerminated, version } from './runStandin';

const settings = await loadSettingsOrExit({
  binaryName: 'standin-weight-store',
  version,
  description: 'A weight store of limited rate, for tests and development',
  definitions: {
    ...listenSettings,
    rateBytesPerSecond: {
      schema: z.coerce.number().positive(),
      description: 'Rate that all readers share, in bytes per second.',
      defaultText: '2000000000',
    },
    weightBytes: {
      schema: z.coerce.number().positive(),
      description: 'Size of the weights of a model, in bytes.',
      defaultText: '1000000000',
    },
  },
});

serveUntilTerminated(await createStandinWeightStore(settings));
