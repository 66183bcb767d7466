/** `bluebell-entry`: takes callers' requests and routes them to agents. */
import { innerSecurityOf, readInnerKeys } from '@bluebellhitch/security';
import { exitCodes, exitForSettings, loadSettingsOrExit } from '@bluebellhitch/shared';
import { installProcessLifecycle } from '@bluebellhitch/telemetry';
import { startEntryProcess } from './entryProcess';
import { entrySettings } from './entrySettings';

const settings = loadSettingsOrExit({
  binaryName: 'bluebell-entry',
  version: '0.1.0',
  description: "Takes callers' requests and routes them to agents.",
  definitions: entrySettings,
});

const innerKeys = readInnerKeys(settings);
if (innerKeys.isErr()) {
  exitForSettings('bluebell-entry', innerKeys.error);
}
const security = innerSecurityOf(innerKeys.value, settings.instanceId);

const entryProcess = await startEntryProcess(settings, security).catch((error: Error) => {
  process.stderr.write(`bluebell-entry: ${error.message}\n`);
  process.exit(exitCodes.failure);
});
installProcessLifecycle({
  logger: entryProcess.logger,
  exitOnStdinEnd: settings.exitOnStdinEnd,
  onStop: entryProcess.stop,
});
