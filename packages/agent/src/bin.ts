/** Entry point of `bluebell-agent`, which runs beside one backend server. */
import { innerSecurityOf, readInnerKeys } from '@bluebellhitch/security';
import { exitOnInvalidSettings, loadSettingsOrExit } from '@bluebellhitch/shared';
import { installProcessLifecycle } from '@bluebellhitch/telemetry';
import { startAgentProcess } from './agentProcess';
import { agentSettings } from './settings';

const settings = await loadSettingsOrExit({
  binaryName: 'bluebell-agent',
  version: '0.1.0',
  description: 'Runs beside one backend server and owns its admission.',
  definitions: agentSettings,
});

const innerKeys = readInnerKeys(settings);
if (innerKeys.isErr()) {
  exitOnInvalidSettings('bluebell-agent', innerKeys.error);
}
const security = innerSecurityOf(innerKeys.value, settings.instanceId);

const agentProcess = await startAgentProcess(settings, security);
installProcessLifecycle({
  logger: agentProcess.logger,
  exitOnStdinEnd: settings.exitOnStdinEnd,
  onStop: (kind) => (kind === 'graceful' ? agentProcess.stop() : agentProcess.stopNow()),
});
// Logged after the signal handlers are installed: whoever waits for this line may send a signal right after it.
const { innerAddress, adminAddress } = agentProcess;
agentProcess.logger.info('listening', { innerAddress, adminAddress });
