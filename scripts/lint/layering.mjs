/**
 * Enforces the direction of dependencies between packages, as shown in CONTRIBUTING.md, with one lint configuration for
 * each package. A package may import those of the layers listed before its own.
 */
const layers = [
  ['shared'],
  ['protocol', 'document', 'ports'],
  ['decisions', 'objects', 'security'],
  ['duties', 'membership', 'engine', 'telemetry'],
  ['routing'],
  ['entry', 'agent', 'ctl', 'standins'],
  // Runs the decisions of the router in virtual time against the engine of the stand-ins.
  ['replay'],
  ['bench'],
  // Runs the components of the binaries together in one process.
  ['scenarios'],
  // Adapter for the users' platform: it may use the layers before it, and no package of the product may use it.
  ['platform'],
  // Stand-ins for the surroundings of the platform's router, for tests. They use the same wire formats, so they may
  // import the types of the adapter.
  ['platform-standins'],
  // Runs processes of the platform's router against those stand-ins.
  ['soak'],
];

/** Folders of packages that are not under packages/. */
const folders = { platform: 'platform', 'platform-standins': 'platform/standins' };

/** Folders in the source of a package, with those that each of them may import beside the package's root. */
const sourceFolders = {
  routing: {
    servers: [],
    fleet: ['servers'],
    request: ['fleet', 'servers'],
    callers: [],
  },
};

/** Allowed dependencies within a layer; each needs a reason. */
const extraDependencies = {};

/** I/O modules that `decisions` must not import: it is pure and reads no clock, socket or file. */
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
    ...folderConfigs(name, folder),
    // Tests may also use the stand-ins for external systems.
    layeringConfig(name, `${folder}/__tests__/**/*.ts`, [
      ...allowedImports(name),
      name,
      'standins',
      ...(name === 'platform' ? ['platform-standins'] : []),
    ]),
  ];
});

/** The imports that a folder of a package's source may not make, as patterns of relative paths. */
function forbiddenFolders(name, folder) {
  const allowed = [folder, ...sourceFolders[name][folder]];
  return Object.keys(sourceFolders[name]).filter((other) => !allowed.includes(other));
}

function folderConfigs(name, folder) {
  return Object.keys(sourceFolders[name] ?? {}).map((inner) =>
    layeringConfig(
      name,
      `${folder}/src/${inner}/**/*.ts`,
      allowedImports(name),
      forbiddenFolders(name, inner),
    ),
  );
}

function allowedImports(name) {
  const level = layers.findIndex((layer) => layer.includes(name));
  return [...layers.slice(0, level).flat(), ...(extraDependencies[name] ?? [])];
}

function layeringConfig(name, files, allowed, forbiddenInside = []) {
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
              message: 'Import from the package; its index.ts is its public API.',
            },
            ...forbiddenInside.map((inner) => ({
              group: [`../${inner}/*`],
              message: `See the order of the folders of ${name} in CONTRIBUTING.md.`,
            })),
            ...(isPureSource
              ? [{ group: ioModules, message: 'decisions has no I/O; pass in what it needs.' }]
              : []),
          ],
        },
      ],
    },
  };
}
