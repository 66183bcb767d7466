/** Executable `bluebell-entry`: accepts callers' requests and routes them to agents. */
import { innerSecurityOf, readInnerKeys } from '@bluebellhitch/security';
import { Result } from 'neverthrow';
import { exitCodes, exitOnInvalidSettings, loadSettingsOrExit } from '@bluebellhitch/shared';
import { installProcessLifecycle } from '@bluebellhitch/telemetry';
import { readCallersTls } from './callersTls';
import { startEntryProcess } from './entryProcess';
import { entrySettings } from './entrySettings';

const settings = await loadSettingsOrExit({
  binaryName: 'bluebell-entry',
  version: '0.1.0',
  description: "Takes callers' requests and routes them to agents.",
  definitions: entrySettings,
});

const files = Result.combineWithAllErrors([readInnerKeys(settings), readCallersTls(settings)]);
if (files.isErr()) {
  exitOnInvalidSettings('bluebell-entry', files.error.flat());
}
const [innerKeys, callersTls] = files.value;
const security = innerSecurityOf(innerKeys, settings.instanceId);

const starting = startEntryProcess({ settings, security, callersTls });
const entryProcess = await starting.catch((error: Error) => {
  process.stderr.write(`bluebell-entry: ${error.message}\n`);
  process.exit(exitCodes.failure);
});
installProcessLifecycle({
  logger: entryProcess.logger,
  exitOnStdinEnd: settings.exitOnStdinEnd,
  onStop: entryProcess.stop,
});
