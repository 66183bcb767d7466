/** Tells failures to connect, after which a call was certainly not sent, from those of established connections. */

const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT';
/** The system reports these for an established connection too, once its retransmissions have failed. */
const unreachableCodes: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];
const connectSyscall = 'connect';

/** Whether the error of a call means that no connection was established for it. */
export function isConnectError(error: unknown): boolean {
  // Thrown where a host name has several addresses.
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectError);
  }
  const { code, syscall } = Object(error) as { code?: unknown; syscall?: unknown };
  return (
    code === connectTimeoutCode ||
    (syscall === connectSyscall && unreachableCodes.includes(String(code)))
  );
}
