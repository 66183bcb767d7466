/**
 * A superfluous response that breaks off in the value of a header leaves the HTTP parser there. The head of the next response is
 * then read as the rest of the value: the status is that of the first, and the id that of the second. One that breaks off in its
 * first line is found before the parser: see `ConnectionInput`.
 */
import { expectedIdOf, type CallIdentity } from './callIdentity';

const statusLinePattern = /HTTP\/\d\.\d \d{3}/;

/**
 * Whether a status line stands where none may be. To be asked of a response with the call's own id, whose header the caller
 * has written. A server that names no request has its connection to one call, and any header. Headers alternate names and
 * values.
 */
export function hasJoinedHeaders(identity: CallIdentity, headers: readonly string[]): boolean {
  if (identity.kind === 'unmarked') {
    return false;
  }
  const ownId = expectedIdOf(identity);
  return headers.some((text) => text !== ownId && statusLinePattern.test(text));
}
