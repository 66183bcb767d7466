/** The verbs of `bluebellctl` and their help texts. */

export interface VerbDescription {
  usage: string;
  summary: string;
  minArgs: number;
  maxArgs: number;
  /** Additional lines in the help of the verb. */
  details?: readonly string[];
}

const unlimited = Number.POSITIVE_INFINITY;

export const verbs = {
  validate: {
    usage: 'validate FILE...',
    summary: 'Check documents; needs no connection.',
    minArgs: 1,
    maxArgs: unlimited,
    details: ['Reads standard input if the file is -. Exit code 3 if a document has findings.'],
  },
  diff: {
    usage: 'diff FILE',
    summary: 'Show what applying a document would change.',
    minArgs: 1,
    maxArgs: 1,
  },
  apply: {
    usage: 'apply FILE... [--base-version N] [--wait-ms MS]',
    summary: 'Write documents, unless somebody else has changed them in the meantime.',
    minArgs: 1,
    maxArgs: unlimited,
    details: [
      'Nothing is written unless all documents are valid.',
      '--base-version N  overwrite only this version; default: the one that `get` noted in the file,',
      '                  otherwise the current version when the command starts',
      '--wait-ms MS      wait until the edit is accepted (exit code 0) or rejected (3); 1 if neither in time',
    ],
  },
  get: {
    usage: 'get SERVICE',
    summary: 'Print a document, with a note of its version for `apply`.',
    minArgs: 1,
    maxArgs: 1,
  },
  list: { usage: 'list', summary: 'List all documents.', minArgs: 0, maxArgs: 0 },
  status: {
    usage: 'status [SERVICE] [--admin URL]...',
    summary:
      'Show whether the last edit was accepted, the active generations, drains and quarantines.',
    minArgs: 0,
    maxArgs: 1,
    details: ['--admin URL  admin port of a process to query, http://ip:port; may be repeated'],
  },
  explain: {
    usage: 'explain REQUEST-ID [--admin URL]...',
    summary: 'Show the decisions about a request, and their reasons.',
    minArgs: 1,
    maxArgs: 1,
    details: ['--admin URL  admin port of an entry to query, http://ip:port; may be repeated'],
  },
  drain: {
    usage: 'drain INSTANCE [--service SERVICE]',
    summary: 'Send no new work to an instance, by an edit of its service document.',
    minArgs: 1,
    maxArgs: 1,
  },
  undrain: {
    usage: 'undrain INSTANCE [--service SERVICE]',
    summary: 'Send new work to a drained instance again.',
    minArgs: 1,
    maxArgs: 1,
  },
  quarantine: {
    usage: 'quarantine list | release FINGERPRINT | block FINGERPRINT [--service SERVICE]',
    summary: 'Show, release or block requests that crash backend servers.',
    minArgs: 1,
    maxArgs: 2,
    details: ['release and block edit the lists of the same names in the document.'],
  },
} as const satisfies Record<string, VerbDescription>;
export type VerbName = keyof typeof verbs;

const commonFlags = [
  'Flags of all verbs:',
  '  --platform-url URL  the platform, http://ip:port (BLUEBELL_PLATFORM_URL)',
  '  --json              print the result as one JSON object',
  '  --help, --version',
];

const exitCodeLines = [
  'Exit codes:',
  '  0 done   1 failed   2 invalid arguments or settings   3 findings in a document',
  '  4 somebody else changed the document first   5 the platform is unavailable',
];

export function overviewText(): string {
  const rows = Object.values(verbs).map(({ usage, summary }) => `  ${usage}\n      ${summary}`);
  return [
    'Usage: bluebellctl VERB [ARGUMENTS] [FLAGS]',
    '',
    ...rows,
    '',
    ...commonFlags,
    '',
    ...exitCodeLines,
  ].join('\n');
}

export function helpOfVerb(name: VerbName): string {
  const { usage, summary, details = [] }: VerbDescription = verbs[name];
  return [
    `Usage: bluebellctl ${usage}`,
    '',
    summary,
    ...details,
    '',
    ...commonFlags,
    '',
    ...exitCodeLines,
  ].join('\n');
}
