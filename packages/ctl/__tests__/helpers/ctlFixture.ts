/** Runs command lines of `bluebellctl` against an in-memory platform and in-memory files. */
import { err, ok } from 'neverthrow';
import { plainStyles, runCtl, type CtlIo } from '@bluebellhitch/ctl';
import { createMemoryPlatform } from './memoryPlatform';

export const deskText = `# Our desk.
apiVersion: bluebellhitch/v1
service: desk # callers never see this
institution: acme
kind: plain
dataCentres: [north, south]
routes:
  - pathPrefix: /desk
classes:
  - { name: counter, weight: 2 }
`;

export function createCtlFixture(files: Record<string, string> = {}) {
  const platform = createMemoryPlatform();
  const adminResponses: Record<string, unknown> = {};

  async function run(...argv: string[]) {
    const written = { output: '', errors: '' };
    const io: CtlIo = {
      json: false,
      styles: plainStyles,
      writeOutput: (text) => {
        written.output += text;
      },
      writeError: (text) => {
        written.errors += text;
      },
      readFile: async (path) => {
        const text = files[path];
        return text === undefined ? err('no such file') : ok(text);
      },
      readAdmin: async (address, path) => {
        const response = adminResponses[`${address}${path}`];
        return response === undefined ? err({ kind: 'not-found' }) : ok(response);
      },
      delay: async () => undefined,
    };
    const exitCode = await runCtl({
      argv,
      env: { BLUEBELL_PLATFORM_URL: 'http://127.0.0.1:1' },
      version: '9.9.9',
      io,
      connect: () => platform,
    });
    return { exitCode, ...written };
  }

  async function storedText(service = 'desk'): Promise<string> {
    const object = (await platform.get('document', service))._unsafeUnwrap();
    return (object.value as { text: string }).text;
  }

  return { platform, files, adminResponses, run, storedText };
}
