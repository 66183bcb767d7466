/** Dispatches datagrams of other routers to the handler of their message type. */
import {
  decodeCrashMessage,
  decodeLimitMessage,
  decodeProofMessage,
  decodeQuotaMessage,
  decodeSpeedMessage,
  decodeStreamOriginMessage,
} from '@bluebellhitch/protocol';
import type { ServerLimits } from '../servers/serverLimits';
import type { ConfigurationProof } from './configurationProof';
import type { QuotaExchange } from './quotaExchange';
import type { RequestQuarantine } from './requestQuarantine';
import type { SpeedExchange } from './speedExchange';
import type { StreamOrigins } from './streamOrigins';

export interface DatagramHandlers {
  proof: Pick<ConfigurationProof, 'receive'>;
  quota: Pick<QuotaExchange, 'receive'>;
  limits: Pick<ServerLimits, 'receive'>;
  speeds: Pick<SpeedExchange, 'receive'>;
  quarantine: Pick<RequestQuarantine, 'receive'>;
  streamOrigins: Pick<StreamOrigins, 'receive'>;
}

/** Datagrams that no handler can decode are ignored, because anyone may send to the port. */
export function createDatagramDispatcher(handlers: DatagramHandlers): (bytes: Buffer) => void {
  const { proof, quota, limits, speeds, quarantine, streamOrigins } = handlers;
  const messageHandlers = [
    createMessageHandler(decodeProofMessage, proof.receive),
    createMessageHandler(decodeQuotaMessage, quota.receive),
    createMessageHandler(decodeLimitMessage, limits.receive),
    createMessageHandler(decodeSpeedMessage, speeds.receive),
    createMessageHandler(decodeCrashMessage, quarantine.receive),
    createMessageHandler(decodeStreamOriginMessage, streamOrigins.receive),
  ];
  return (bytes) => {
    messageHandlers.some((tryHandle) => tryHandle(bytes));
  };
}

function createMessageHandler<Message>(
  decode: (bytes: Buffer) => Message | undefined,
  receive: (message: Message) => void,
): (bytes: Buffer) => boolean {
  return (bytes) => {
    const message = decode(bytes);
    if (message !== undefined) {
      receive(message);
    }
    return message !== undefined;
  };
}
