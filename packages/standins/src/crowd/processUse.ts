/** What a process uses, according to the kernel. */
import { readdirSync, readFileSync } from 'node:fs';
import { createBackgroundLoop, delay } from '@bluebellhitch/shared';

export interface ProcessUse {
  /** Largest memory that was resident at any time, including pages of files, in bytes. */
  peakResidentBytes(): number;
  /** Largest number of open descriptors that was seen. */
  peakDescriptors(): number;
  stop(): Promise<void>;
}

const pollMs = 50;
const bytesPerKilobyte = 1_024;

/** Watches a process until `stop`; the last figures remain if it ends. */
export function watchProcess(pid: number): ProcessUse {
  let residentBytes = 0;
  let descriptors = 0;

  function look(): void {
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      const kilobytes = Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0);
      residentBytes = Math.max(residentBytes, kilobytes * bytesPerKilobyte);
      descriptors = Math.max(descriptors, readdirSync(`/proc/${pid}/fd`).length);
    } catch {
      // The process has ended.
    }
  }

  const loop = createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      look();
      await delay(pollMs, signal);
    }
  });
  loop.start();
  return {
    peakResidentBytes() {
      look();
      return residentBytes;
    },
    peakDescriptors: () => descriptors,
    stop: () => loop.stop(),
  };
}
