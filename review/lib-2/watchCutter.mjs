/**
 * A TCP proxy before the platform's store that can close the connections on which a call waits for its response, as the
 * platform does with watches. It passes all bytes on at once; other connections stay open.
 */
import { connect, createServer } from 'node:net';

export async function startWatchCutter({ host, target }) {
  const [targetHost, targetPort] = target.split(':');
  const links = new Set();

  const server = createServer({ noDelay: true }, (incoming) => {
    const outgoing = connect({ host: targetHost, port: Number(targetPort), noDelay: true });
    const link = { incoming, isWaiting: false };
    links.add(link);
    const end = () => {
      links.delete(link);
      incoming.destroy();
      outgoing.destroy();
    };
    incoming.on('data', (bytes) => {
      link.isWaiting = true;
      outgoing.write(bytes);
    });
    outgoing.on('data', (bytes) => {
      link.isWaiting = false;
      incoming.write(bytes);
    });
    [incoming, outgoing].forEach((socket) => {
      socket.on('error', end);
      socket.on('close', end);
      socket.on('end', end);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    /** Closes the connections of the calls that wait; returns how many there were. */
    cutWaiting() {
      const waiting = [...links].filter(({ isWaiting }) => isWaiting);
      waiting.forEach(({ incoming }) => incoming.end());
      return waiting.length;
    },
    close() {
      server.close();
      links.forEach(({ incoming }) => incoming.destroy());
    },
  };
}
