/** Shared by the stand-ins' binaries: listen settings, the output line with the address, and shutdown. */
import * as z from 'zod';
import { exitCodes } from '@bluebellhitch/shared';
import type { StandinServer } from '../httpServer';

export const version = '0.1.0';

export const listenSettings = {
  host: { schema: z.string(), description: 'IP number to listen on.', defaultText: '127.0.0.1' },
  port: {
    schema: z.coerce.number().int().min(0).max(65_535),
    description: 'Port to listen on; 0 picks a free one.',
    defaultText: '0',
  },
};

/** Text form of a boolean setting. */
export const booleanSetting = z.enum(['true', 'false']).transform((text) => text === 'true');

/** Prints the address on stdout. On SIGTERM or SIGINT exits with 0 once responses in progress have ended. */
export function serveUntilTerminated(server: StandinServer): void {
  const line = { message: 'listening', context: { address: server.address } };
  process.stdout.write(`${JSON.stringify(line)}\n`);
  const stop = () => {
    const exit = () => process.exit(exitCodes.ok);
    server.close().then(exit, exit);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
