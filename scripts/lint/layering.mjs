/**
 * The direction of dependencies between packages, as CONTRIBUTING.md draws it: one lint configuration
 * for each package.
 */
const layers = [
  ['shared'],
  ['protocol', 'document'],
  ['decisions', 'objects', 'security'],
  ['duties', 'membership', 'engine', 'telemetry'],
  ['routing'],
  ['entry', 'agent', 'ctl', 'standins'],
  // Runs the router's decisions in virtual time before the stand-ins' engine.
  ['replay'],
  ['bench'],
  // Runs the binaries' parts together in one process.
  ['scenarios'],
  // Translates for the users' platform: it may use what is below, and nothing may use it.
  ['platform'],
  // The platform's outside, for tests: it speaks the same wire, so it may share the translations' types.
  ['platform-standins'],
  // Runs the platform's router as processes before those stand-ins.
  ['soak'],
];

/** Packages that do not lie under packages/. */
const folders = { platform: 'platform', 'platform-standins': 'platform/standins' };

/** Edges inside a layer; each needs a reason. */
const extraEdges = {};

/** Decisions are pure: whatever reads a clock, a socket or a file stays outside. */
const ioModules = [
  'node:*',
  'undici',
  'hono',
  'hono/*',
  '@hono/*',
  '@trpc/*',
  'prom-client',
  'roarr',
];

const packageNames = layers.flat();

export const layeringConfigs = packageNames.flatMap((name) => {
  const folder = folders[name] ?? `packages/${name}`;
  return [
    layeringConfig(name, `${folder}/src/**/*.ts`, allowedImports(name)),
    // Tests may use the stand-ins of the outside world as well.
    layeringConfig(name, `${folder}/__tests__/**/*.ts`, [
      ...allowedImports(name),
      name,
      'standins',
      ...(name === 'platform' ? ['platform-standins'] : []),
    ]),
  ];
});

function allowedImports(name) {
  const level = layers.findIndex((layer) => layer.includes(name));
  return [...layers.slice(0, level).flat(), ...(extraEdges[name] ?? [])];
}

function layeringConfig(name, files, allowed) {
  const forbidden = packageNames.filter((other) => !allowed.includes(other));
  const isPureSource = name === 'decisions' && files.includes('/src/');
  return {
    name: `bluebellhitch/layering/${files}`,
    files: [files],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: forbidden.map((other) => ({
            name: `@bluebellhitch/${other}`,
            message: `${name} may not depend on ${other}; see CONTRIBUTING.md.`,
          })),
          patterns: [
            {
              group: ['@bluebellhitch/*/*'],
              message: 'Import from the package; its index.ts is its public surface.',
            },
            ...(isPureSource
              ? [{ group: ioModules, message: 'decisions has no I/O; pass in what it needs.' }]
              : []),
          ],
        },
      ],
    },
  };
}
