/** TLS for callers: certificate and key from the files in the settings, read once at start-up. */
import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { err, ok, Result } from 'neverthrow';
import { environmentName, flagName, type Finding } from '@bluebellhitch/shared';

/** PEM texts; `cert` includes the certificate chain. */
export interface CallersTls {
  cert: string;
  key: string;
}

export interface CallersTlsSettings {
  callersTlsCertFile?: string;
  callersTlsKeyFile?: string;
}

/** Reads both files; `undefined` if the settings name neither. */
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
    return err(createFinding(setting, 'is required beside the other file'));
  }
  const readFile = Result.fromThrowable(
    () => readFileSync(path, 'utf8'),
    (error) => createFinding(setting, `cannot be read: ${(error as Error).message}`),
  );
  return readFile();
}

/** Checks that key and certificate match; otherwise every TLS handshake would fail. */
function checkPair(tls: CallersTls): Result<CallersTls, Finding[]> {
  const check = Result.fromThrowable(createSecureContext, (error) => [
    createFinding('callersTlsCertFile', `does not work with the key: ${(error as Error).message}`),
  ]);
  return check(tls).map(() => tls);
}

function createFinding(setting: string, message: string): Finding {
  return { path: `${flagName(setting)} (${environmentName(setting)})`, message };
}
