/** Checks whether the fixed ports of `npm start` are free. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/** Returns the given ports that are already in use; port 0 means any free port and is never in use. */
export async function findUsedPorts(ports) {
  const results = await Promise.all(
    ports.map(async (port) => ({ port, isUsed: await isUsed(port) })),
  );
  return results.filter((result) => result.isUsed).map(({ port }) => port);
}

async function isUsed(port) {
  const server = createServer();
  try {
    await once(server.listen(port, '127.0.0.1'), 'listening');
    return false;
  } catch (error) {
    if (error.code !== 'EADDRINUSE') {
      throw error;
    }
    return true;
  } finally {
    server.close();
  }
}
