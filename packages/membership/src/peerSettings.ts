/** The setting of `bluebell-entry` and `bluebell-agent` for the entries to poll at the start. */
import * as z from 'zod';

const maxPeers = 16;
const peerAddress = z.url({ protocol: /^http$/, error: 'must be http://ip:port' });

export const peerSettings = {
  peerAddresses: {
    schema: z
      .string()
      .default('')
      .transform((text) => text.split(',').flatMap((part) => part.trim() || []))
      .pipe(z.array(peerAddress).max(maxPeers)),
    description:
      'Inner addresses of entries, comma separated, asked at the start while the platform is down.',
  },
};
