/**
 * Stands in for Node's HTTP/2 in the platform's router, which speaks HTTP/1.1 alone: loading it takes a tenth of a
 * start's processor time. Libraries read these names as they load.
 */
export const constants = {};

export function createServer() {
  throw new Error('this program speaks HTTP/1.1 alone');
}

export const createSecureServer = createServer;

export function Http2ServerRequest() {}

export function Http2ServerResponse() {}

// Node's own module has a default export too, and libraries use either.
// eslint-disable-next-line import-x/no-default-export
export default { constants, createServer, createSecureServer };
