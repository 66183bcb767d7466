/**
 * Replaces the `http2` module of Node.js in the platform's router, which uses HTTP/1.1 only. Loading the real module
 * takes a tenth of the CPU time of a start. Libraries read these exports while they load.
 */
export const constants = {};

export function createServer() {
  throw new Error('HTTP/2 is not available: this program uses HTTP/1.1 only');
}

export const createSecureServer = createServer;

export function Http2ServerRequest() {}

export function Http2ServerResponse() {}

// The original module has a default export too, and libraries use either form.
// eslint-disable-next-line import-x/no-default-export
export default { constants, createServer, createSecureServer };
