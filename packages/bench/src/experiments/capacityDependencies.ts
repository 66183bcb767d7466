/** Resident memory and start-up processor time of Node.js alone and with the dependencies of entries and agents. */
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { renderTable } from '../report/table';
import { formatMegabytes } from './capacityHarness';
import type { ExperimentContext, ExperimentReport } from './context';

interface DependencyCost {
  modules: string;
  residentBytes: number;
  cpuMs: number;
}

const dependencies = [
  'neverthrow',
  'zod',
  'undici',
  'hono',
  '@hono/node-server',
  '@trpc/server',
  '@trpc/client',
  'prom-client',
  'roarr',
  'meow',
  'yaml',
  'xxhash-wasm',
  'pure-rand/generator/xoroshiro128plus',
];
const repeats = 3;
const run = promisify(execFile);

export async function runDependencies(context: ExperimentContext): Promise<ExperimentReport> {
  const sets = [[], ...dependencies.map((name) => [name]), dependencies];
  const costs: DependencyCost[] = [];
  for (const modules of sets) {
    costs.push(await measureImport(context, modules));
  }
  const [baseline] = costs;
  const rows = costs.map(({ modules, residentBytes, cpuMs }) => [
    modules,
    formatMegabytes(residentBytes),
    formatMegabytes(residentBytes - (baseline?.residentBytes ?? 0)),
    cpuMs.toFixed(0),
  ]);
  const headers = ['modules', 'resident MB', 'more than Node.js alone', 'processor ms to start'];
  return { text: renderTable(headers, rows), figures: { costs } };
}

/** Takes the minimum of a few starts: other load on the machine can only add to the cost. */
async function measureImport(
  { binaryDirectory }: ExperimentContext,
  modules: readonly string[],
): Promise<DependencyCost> {
  const script = [
    ...modules.map((name) => `await import('${name}');`),
    'const { user, system } = process.cpuUsage();',
    'console.log(JSON.stringify([process.memoryUsage().rss, (user + system) / 1000]));',
  ].join('\n');
  const samples: [number, number][] = [];
  for (let repeat = 0; repeat < repeats; repeat += 1) {
    const { stdout } = await run(process.execPath, ['--input-type=module', '--eval', script], {
      cwd: join(binaryDirectory, '..'),
    });
    samples.push(JSON.parse(stdout) as [number, number]);
  }
  const name = modules.length > 1 ? 'all' : (modules[0] ?? 'none');
  return {
    modules: name,
    residentBytes: Math.min(...samples.map(([bytes]) => bytes)),
    cpuMs: Math.min(...samples.map(([, cpuMs]) => cpuMs)),
  };
}
