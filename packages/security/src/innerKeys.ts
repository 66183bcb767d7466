/** The secret keys that the system's own processes share, and the settings that provide them. */
import { readFileSync } from 'node:fs';
import { err, ok, Result } from 'neverthrow';
import * as z from 'zod';
import { environmentName, flagName, type Finding } from '@bluebellhitch/shared';

/** A shared secret and the key id (`kid`) by which tokens refer to it. */
export interface InnerKey {
  id: string;
  secret: string;
}

/** Setting definitions that a binary adds to its own. */
export const innerSecuritySettings = {
  innerKeys: {
    schema: z.string().optional(),
    description:
      'Keys of the inner protocol, kid:secret pairs separated by commas: the first signs, all verify.',
  },
  innerKeysFile: {
    schema: z.string().optional(),
    description: 'File with the keys, in place of the setting above; read once at the start.',
  },
  insecureInner: {
    schema: z.enum(['true', 'false']).transform((text) => text === 'true'),
    description:
      'Serve the inner protocol to anyone, without keys. For trials on one machine only.',
    defaultText: 'false',
    isSwitch: true,
  },
};

export interface InnerSecuritySettings {
  innerKeys?: string;
  innerKeysFile?: string;
  insecureInner: boolean;
}

/** `insecure` only if operators requested it explicitly. */
export type InnerKeyChoice = { kind: 'keys'; keys: InnerKey[] } | { kind: 'insecure' };

/** HS256 requires a key at least as long as its hash. */
const minSecretBytes = 32;
const keyIdPattern = /^[\w.-]{1,64}$/;

/** Reads the keys, or returns all findings that prevent the process from starting. */
export function readInnerKeys(settings: InnerSecuritySettings): Result<InnerKeyChoice, Finding[]> {
  const { innerKeys, innerKeysFile, insecureInner } = settings;
  const givenSettings = [innerKeys, innerKeysFile].filter((setting) => setting !== undefined);
  if (insecureInner) {
    return givenSettings.length === 0
      ? ok({ kind: 'insecure' })
      : err([findingOf('insecureInner', 'contradicts the keys that are given too')]);
  }
  if (innerKeysFile !== undefined) {
    return innerKeys === undefined
      ? readKeysFile(innerKeysFile)
      : err([findingOf('innerKeysFile', 'contradicts the keys that are given beside it')]);
  }
  return innerKeys === undefined
    ? err([findingOf('innerKeys', 'is required, or a file with keys, or --insecure-inner')])
    : toChoice('innerKeys', innerKeys);
}

function readKeysFile(path: string): Result<InnerKeyChoice, Finding[]> {
  const readFile = Result.fromThrowable(
    () => readFileSync(path, 'utf8'),
    (error) => [findingOf('innerKeysFile', `cannot be read: ${(error as Error).message}`)],
  );
  return readFile().andThen((text) => toChoice('innerKeysFile', text));
}

function toChoice(setting: string, text: string): Result<InnerKeyChoice, Finding[]> {
  const pairs = text
    .split(/[,\n]/)
    .map((pair) => pair.trim())
    .filter((pair) => pair !== '');
  const keys = pairs.map(toKey);
  const findings = findKeyFaults(keys).map((message) => findingOf(setting, message));
  return findings.length === 0 ? ok({ kind: 'keys', keys }) : err(findings);
}

function toKey(pair: string): InnerKey {
  const colon = pair.indexOf(':');
  return { id: pair.slice(0, Math.max(0, colon)), secret: pair.slice(colon + 1) };
}

/** Refers to keys by their position, because a message must not contain anything that may be a secret. */
function findKeyFaults(keys: readonly InnerKey[]): string[] {
  if (keys.length === 0) {
    return ['holds no key'];
  }
  return keys.flatMap(({ id, secret }, index) => {
    const isDuplicate = keys.findIndex((other) => other.id === id) !== index;
    return [
      ...(keyIdPattern.test(id) ? [] : [`pair ${index + 1} is not kid:secret`]),
      ...(isDuplicate ? [`pair ${index + 1} has the kid of an earlier one`] : []),
      ...(Buffer.byteLength(secret) < minSecretBytes
        ? [`the secret of pair ${index + 1} is shorter than ${minSecretBytes} bytes`]
        : []),
    ];
  });
}

function findingOf(setting: string, message: string): Finding {
  return { path: `${flagName(setting)} (${environmentName(setting)})`, message };
}
