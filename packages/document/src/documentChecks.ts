/** Rules that involve several fields or items of a document, which the schema cannot express. */
import type { z } from 'zod';
import type { Finding } from '@bluebellhitch/shared';
import { serviceDocumentSchema, type Route, type ServiceDocument } from './documentSchema';
import { formatPath, type FieldPath } from './fieldPath';
import type { SourceText } from './sourceText';

/** A violated rule, without its position in the text. */
interface Problem {
  path: FieldPath;
  message: string;
  hint?: string;
}

type FieldName = keyof ServiceDocument;

/** A rule and the fields that it reads. */
interface Check {
  reads: readonly FieldName[];
  find(document: ServiceDocument): Problem[];
}

const checks: readonly Check[] = [
  { reads: ['kind', 'models', 'routes'], find: checkKindFields },
  { reads: ['kind', 'rollout'], find: checkPrefillWorkers },
  {
    reads: ['dataCentres'],
    find: ({ dataCentres }) => findDuplicates(['dataCentres'], dataCentres),
  },
  { reads: ['classes'], find: ({ classes }) => findDuplicateNames(['classes'], classes) },
  { reads: ['models'], find: checkModelNames },
  { reads: ['routes'], find: checkRouteConflicts },
  { reads: ['classes'], find: checkClassRates },
  { reads: ['targets', 'limits'], find: checkTarget },
  { reads: ['limits', 'drain'], find: checkDrainBound },
  {
    reads: ['drain'],
    find: ({ drain }) => findDuplicates(['drain', 'instances'], drain.instances),
  },
  { reads: ['quarantine'], find: checkQuarantineLists },
];

/**
 * Returns all violations. A rule is skipped only if a field that it reads is itself malformed, so that
 * one mistake does not hide others.
 */
export function documentFindings(source: SourceText): Finding[] {
  const { document, malformed } = readFields(source.value);
  const problems = checks
    .filter(({ reads }) => reads.every((field) => !malformed.has(field)))
    .flatMap(({ find }) => find(document));
  return toFindings(problems, source);
}

interface ReadFields {
  /** Has only the well-formed fields; the others are absent and must not be read. */
  document: ServiceDocument;
  malformed: ReadonlySet<FieldName>;
}

function readFields(value: unknown): ReadFields {
  const fields = typeof value === 'object' && value !== null ? value : {};
  const shape = Object.entries(serviceDocumentSchema.shape) as [FieldName, z.ZodType][];
  const results = shape.map(([field, schema]) => ({
    field,
    result: schema.safeParse((fields as Record<string, unknown>)[field]),
  }));
  const document = Object.fromEntries(results.map(({ field, result }) => [field, result.data]));
  const malformed = results.filter(({ result }) => !result.success).map(({ field }) => field);
  return { document: document as ServiceDocument, malformed: new Set(malformed) };
}

/** Warnings, which do not reject the document: fields that have no effect on its kind of service. */
export function documentWarnings(document: ServiceDocument, source: SourceText): Finding[] {
  const unusedPaths: FieldPath[] =
    document.kind === 'plain'
      ? [['targets'], ['weights'], ['rollout'], ['backendServers'], ['limits', 'maxOutputTokens']]
      : [['limits', 'slotsPerServer']];
  const problems = unusedPaths
    .filter((path) => source.has(path))
    .map((path) => ({ path, message: `has no effect on a service of kind ${document.kind}` }));
  return toFindings(problems, source);
}

function toFindings(problems: Problem[], source: SourceText): Finding[] {
  return problems.map(({ path, ...problem }) => ({
    path: formatPath(path),
    ...source.positionOf(path),
    ...problem,
  }));
}

function checkKindFields(document: ServiceDocument): Problem[] {
  return document.kind === 'model' ? checkModelKind(document) : checkPlainKind(document);
}

function checkModelKind({ models, routes }: ServiceDocument): Problem[] {
  const missing = problemIf(models.length === 0, {
    path: ['models'],
    message: 'a service of kind model needs at least one model',
  });
  const extra = problemIf(routes.length > 0, {
    path: ['routes'],
    message: 'a service of kind model has no routes',
    hint: 'callers reach it by its name; they mark single requests with x-no-repeat',
  });
  return [...missing, ...extra];
}

function checkPlainKind({ models, routes }: ServiceDocument): Problem[] {
  const missing = problemIf(routes.length === 0, {
    path: ['routes'],
    message: 'a service of kind plain needs at least one route',
  });
  const extra = problemIf(models.length > 0, {
    path: ['models'],
    message: 'a service of kind plain has no models',
  });
  return [...missing, ...extra];
}

function checkPrefillWorkers({ kind, rollout }: ServiceDocument): Problem[] {
  return problemIf(kind === 'plain' && rollout.prefillWorkers !== undefined, {
    path: ['rollout', 'prefillWorkers'],
    message: 'a service of kind plain has no prefill workers',
  });
}

/** Callers select a model or an adapter by the same field, so all of these names must be distinct. */
function checkModelNames({ models }: ServiceDocument): Problem[] {
  const named = models.flatMap(({ name, adapters }, index) => [
    { path: ['models', index], name },
    ...adapters.map((adapter, adapterIndex) => ({
      path: ['models', index, 'adapters', adapterIndex],
      name: adapter,
    })),
  ]);
  return named.flatMap(({ path, name }, index) => {
    const first = named.slice(0, index).find((earlier) => earlier.name === name);
    return first === undefined
      ? []
      : [{ path, message: `${name} repeats ${formatPath(first.path)}` }];
  });
}

function checkRouteConflicts({ routes }: ServiceDocument): Problem[] {
  return routes.flatMap((route, index) => {
    const first = routes.slice(0, index).findIndex((earlier) => routesOverlap(earlier, route));
    return problemIf(first !== -1, {
      path: ['routes', index],
      message: `matches the same calls as routes[${first}]`,
      hint: 'give them different hosts, path prefixes or methods',
    });
  });
}

function routesOverlap(left: Route, right: Route): boolean {
  const sameHost = left.host?.toLowerCase() === right.host?.toLowerCase();
  return sameHost && left.pathPrefix === right.pathPrefix && methodsOverlap(left, right);
}

function methodsOverlap(left: Route, right: Route): boolean {
  if (left.methods === undefined || right.methods === undefined) {
    return true;
  }
  return left.methods.some((method) => right.methods?.includes(method));
}

function checkClassRates({ classes }: ServiceDocument): Problem[] {
  return classes.flatMap(({ burst, requestsPerSecond }, index) =>
    problemIf(burst !== undefined && requestsPerSecond === undefined, {
      path: ['classes', index, 'burst'],
      message: 'needs requestsPerSecond, the rate that it goes above',
    }),
  );
}

function checkTarget({ targets, limits }: ServiceDocument): Problem[] {
  const { requestTimeoutMs } = limits;
  return problemIf(targets.firstTokenMs > requestTimeoutMs, {
    path: ['targets', 'firstTokenMs'],
    message: `is above limits.requestTimeoutMs (${requestTimeoutMs})`,
  });
}

/** A shorter bound could let a planned stop abort a request that is still within its deadline. */
function checkDrainBound({ limits, drain }: ServiceDocument): Problem[] {
  const { requestTimeoutMs } = limits;
  return problemIf(drain.boundMs < requestTimeoutMs, {
    path: ['drain', 'boundMs'],
    message: `is below limits.requestTimeoutMs (${requestTimeoutMs}), so a stop could cut off a request`,
  });
}

function checkQuarantineLists({ quarantine }: ServiceDocument): Problem[] {
  const { release, block } = quarantine;
  const inBothLists = release.flatMap((fingerprint, index) =>
    problemIf(block.includes(fingerprint), {
      path: ['quarantine', 'release', index],
      message: `${fingerprint} is in quarantine.block as well`,
    }),
  );
  return [
    ...findDuplicates(['quarantine', 'release'], release),
    ...findDuplicates(['quarantine', 'block'], block),
    ...inBothLists,
  ];
}

function findDuplicateNames(path: FieldPath, items: readonly { name: string }[]): Problem[] {
  return findDuplicates(
    path,
    items.map(({ name }) => name),
  );
}

/** One problem for each value that already occurs earlier in the list. */
function findDuplicates(path: FieldPath, values: readonly string[]): Problem[] {
  return values.flatMap((value, index) => {
    const first = values.indexOf(value);
    return problemIf(first !== index, {
      path: [...path, index],
      message: `${value} repeats ${formatPath([...path, first])}`,
    });
  });
}

function problemIf(isBroken: boolean, problem: Problem): Problem[] {
  return isBroken ? [problem] : [];
}
