/** Hands the datagrams of other routers to what they are for. */
import {
  decodeLimitMessage,
  decodeProofMessage,
  decodeQuotaMessage,
} from '@bluebellhitch/protocol';
import type { ConfigurationProof } from './configurationProof';
import type { QuotaExchange } from './quotaExchange';
import type { ServerLimits } from './serverLimits';

export interface DatagramReceivers {
  proof: Pick<ConfigurationProof, 'receive'>;
  quota: Pick<QuotaExchange, 'receive'>;
  limits: Pick<ServerLimits, 'receive'>;
}

/** Anything may arrive at the port: what none of them knows is passed over. */
export function createDatagramReceiver(receivers: DatagramReceivers): (bytes: Buffer) => void {
  const { proof, quota, limits } = receivers;
  const readers = [
    readerOf(decodeProofMessage, proof.receive),
    readerOf(decodeQuotaMessage, quota.receive),
    readerOf(decodeLimitMessage, limits.receive),
  ];
  return (bytes) => {
    readers.some((read) => read(bytes));
  };
}

function readerOf<Message>(
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
