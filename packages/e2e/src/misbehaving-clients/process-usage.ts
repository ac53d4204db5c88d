/** Memory and descriptors of a process, as Linux reports them under /proc. */
import { readFile, readdir } from 'node:fs/promises';

const KB_PER_MB = 1024;
const BYTES_PER_MB = 1_048_576;

/** Columns of /proc/net/tcp: local address, and the two queues as hexadecimal `sent:received`. */
const LOCAL_COLUMN = 1;
const QUEUES_COLUMN = 4;

/** Peaks over the samples so far. */
export interface PeakUsage {
  /** Highest resident set so far, plus the bytes that its sockets have received and it hasn't read. */
  memoryMb: number;
  descriptors: number;
}

/** Samples one process until it is stopped. */
export class UsageWatch {
  readonly #pid: number;

  readonly #ip: string;

  readonly #timer: NodeJS.Timeout;

  readonly #peak: PeakUsage = { memoryMb: 0, descriptors: 0 };

  /** `ip`: the address that only this process listens on. */
  constructor({ pid, ip, everyMs = 100 }: { pid: number; ip: string; everyMs?: number }) {
    this.#pid = pid;
    this.#ip = ip;
    // A process that has ended has no files under /proc; its end is checked elsewhere.
    this.#timer = setInterval(() => {
      this.#sample().catch(() => undefined);
    }, everyMs);
  }

  get peak(): PeakUsage {
    return { ...this.#peak };
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #sample(): Promise<void> {
    const [status, files, unreadBytes] = await Promise.all([
      readFile(`/proc/${this.#pid}/status`, 'utf8'),
      readdir(`/proc/${this.#pid}/fd`),
      readUnreadBytes(this.#ip),
    ]);
    // The kernel keeps the highest resident set itself: no peak falls between two samples.
    const residentKb = Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? 0);
    const memoryMb = residentKb / KB_PER_MB + unreadBytes / BYTES_PER_MB;
    this.#peak.memoryMb = Math.max(this.#peak.memoryMb, Math.round(memoryMb));
    this.#peak.descriptors = Math.max(this.#peak.descriptors, files.length);
  }
}

/** Bytes that the kernel has received for sockets of this address and that nobody has read. */
async function readUnreadBytes(ip: string): Promise<number> {
  const table = await readFile('/proc/net/tcp', 'utf8');
  const address = toProcAddress(ip);
  return table
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter((columns) => columns[LOCAL_COLUMN]?.startsWith(`${address}:`))
    .map((columns) => parseInt(columns[QUEUES_COLUMN]?.split(':')[1] ?? '0', 16))
    .reduce((sum, bytes) => sum + bytes, 0);
}

/** Hexadecimal, in the byte order of the host: little-endian on all platforms that the tests run on. */
function toProcAddress(ip: string): string {
  return Buffer.from(ip.split('.').map(Number).reverse()).toString('hex').toUpperCase();
}
