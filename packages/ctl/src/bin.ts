/** Entry point of `bluebellctl`. */
import { createHttpPlatformClient, type HttpPlatformClient } from '@bluebellhitch/objects';
import packageJson from '../package.json' with { type: 'json' };
import { createProcessIo } from './processIo';
import { runCtl } from './runCtl';

const clients: HttpPlatformClient[] = [];

process.exitCode = await runCtl({
  argv: process.argv.slice(2),
  env: process.env,
  version: packageJson.version,
  io: createProcessIo(),
  connect: (address) => {
    const client = createHttpPlatformClient({ address });
    clients.push(client);
    return client;
  },
});
// Open connections would keep the process alive.
await Promise.all(clients.map((client) => client.close()));
