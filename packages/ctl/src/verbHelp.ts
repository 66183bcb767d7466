/** The verbs of `bluebellctl` and their help texts. */

export interface VerbDescription {
  usage: string;
  summary: string;
  minArgs: number;
  maxArgs: number;
  /** Further lines of the verb's own help. */
  details?: readonly string[];
}

const anyNumber = Number.POSITIVE_INFINITY;

export const verbs = {
  validate: {
    usage: 'validate FILE...',
    summary: 'Check documents; needs no connection.',
    minArgs: 1,
    maxArgs: anyNumber,
    details: ['A file named - is standard input. Exit code 3 where a document has findings.'],
  },
  diff: {
    usage: 'diff FILE',
    summary: 'Show what applying a document would change.',
    minArgs: 1,
    maxArgs: 1,
  },
  apply: {
    usage: 'apply FILE... [--base-version N] [--wait-ms MS]',
    summary: 'Write documents, unless somebody else wrote first.',
    minArgs: 1,
    maxArgs: anyNumber,
    details: [
      'Nothing is written unless all documents are valid.',
      '--base-version N  write only over this version; default: the one that `get` noted in the file,',
      '                  else the version that is there when the command starts',
      '--wait-ms MS      wait for the verdict; exit code 3 where the edit was rejected, 1 where none came',
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
    summary: 'Show the verdict on the last edit, what is in force where, drains and quarantines.',
    minArgs: 0,
    maxArgs: 1,
    details: ['--admin URL  admin port of a process to ask, http://ip:port; may be repeated'],
  },
  explain: {
    usage: 'explain REQUEST-ID [--admin URL]...',
    summary: 'Tell what was decided about a request, and why.',
    minArgs: 1,
    maxArgs: 1,
    details: ['--admin URL  admin port of an entry to ask, http://ip:port; may be repeated'],
  },
  drain: {
    usage: 'drain INSTANCE [--service SERVICE]',
    summary: 'Give an instance no new work, by an edit of its service document.',
    minArgs: 1,
    maxArgs: 1,
  },
  undrain: {
    usage: 'undrain INSTANCE [--service SERVICE]',
    summary: 'Give a drained instance work again.',
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
