/** TLS of the callers' side: the certificate and key that the settings name, read once at the start. */
import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { err, ok, Result } from 'neverthrow';
import { environmentName, flagName, type Finding } from '@bluebellhitch/shared';

/** PEM texts; the certificate with its chain. */
export interface CallersTls {
  cert: string;
  key: string;
}

export interface CallersTlsSettings {
  callersTlsCertFile?: string;
  callersTlsKeyFile?: string;
}

/** `undefined` where callers come without TLS. */
export function readCallersTls(
  settings: CallersTlsSettings,
): Result<CallersTls | undefined, Finding[]> {
  const { callersTlsCertFile, callersTlsKeyFile } = settings;
  if (callersTlsCertFile === undefined && callersTlsKeyFile === undefined) {
    return ok(undefined);
  }
  const cert = readPem('callersTlsCertFile', callersTlsCertFile);
  const key = readPem('callersTlsKeyFile', callersTlsKeyFile);
  return Result.combineWithAllErrors([cert, key]).andThen(([certText = '', keyText = '']) =>
    checkPair({ cert: certText, key: keyText }),
  );
}

function readPem(setting: string, path: string | undefined): Result<string, Finding> {
  if (path === undefined) {
    return err(findingOf(setting, 'is required beside the other file'));
  }
  const read = Result.fromThrowable(
    () => readFileSync(path, 'utf8'),
    (error) => findingOf(setting, `cannot be read: ${(error as Error).message}`),
  );
  return read();
}

/** A key that does not belong to the certificate would fail each handshake. */
function checkPair(tls: CallersTls): Result<CallersTls, Finding[]> {
  const check = Result.fromThrowable(createSecureContext, (error) => [
    findingOf('callersTlsCertFile', `does not work with the key: ${(error as Error).message}`),
  ]);
  return check(tls).map(() => tls);
}

function findingOf(setting: string, message: string): Finding {
  return { path: `${flagName(setting)} (${environmentName(setting)})`, message };
}
