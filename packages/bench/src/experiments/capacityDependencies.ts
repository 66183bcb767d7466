/** Resident memory and start time of Node.js alone and with each dependency of entries and agents. */
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { renderTable } from '../report/table';
import { megabytes } from './capacityLab';
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
  const [alone] = costs;
  const rows = costs.map(({ modules, residentBytes, cpuMs }) => [
    modules,
    megabytes(residentBytes),
    megabytes(residentBytes - (alone?.residentBytes ?? 0)),
    cpuMs.toFixed(0),
  ]);
  const headers = ['modules', 'resident MB', 'more than Node.js alone', 'processor ms to start'];
  return { text: renderTable(headers, rows), figures: { costs } };
}

/** The smallest of a few starts: what others do to the machine only adds. */
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
