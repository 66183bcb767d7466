/** `bluebellctl validate`: checks files without a connection to the platform. */
import { ctlExitCodes, type CtlExitCode } from '../exitCodes';
import { printReport, type CtlIo } from '../ctlIo';
import { describeLocal, localData, readLocalDocument, type LocalDocument } from '../localDocument';

export async function runValidate(io: CtlIo, files: readonly string[]): Promise<CtlExitCode> {
  const locals = await Promise.all(files.map((file) => readLocalDocument(io, file)));
  return printReport(io, {
    exitCode: exitCodeOfLocals(locals),
    data: { documents: locals.map(localData) },
    lines: locals.flatMap((local) => describeLocal(io, local)),
  });
}

/** Findings take precedence over unreadable files, because they are what the author has to fix. */
export function exitCodeOfLocals(locals: readonly LocalDocument[]): CtlExitCode {
  if (locals.some(({ kind }) => kind === 'invalid')) {
    return ctlExitCodes.findings;
  }
  return locals.some(({ kind }) => kind === 'unreadable') ? ctlExitCodes.failure : ctlExitCodes.ok;
}
