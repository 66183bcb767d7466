/** Runs command lines against a platform in memory and files in a map. */
import { err, ok } from 'neverthrow';
import { plainPaint, runCtl, type CtlIo } from '@bluebellhitch/ctl';
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

export function createCtlBench(files: Record<string, string> = {}) {
  const platform = createMemoryPlatform();
  const adminAnswers: Record<string, unknown> = {};

  async function run(...argv: string[]) {
    const written = { output: '', errors: '' };
    const io: CtlIo = {
      json: false,
      paint: plainPaint,
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
        const answer = adminAnswers[`${address}${path}`];
        return answer === undefined ? err({ kind: 'not-found' }) : ok(answer);
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

  return { platform, files, adminAnswers, run, storedText };
}
