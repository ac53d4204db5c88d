/** What a process costs its VM, read from the kernel's accounts. */
import { readFileSync } from 'node:fs';

/** Totals of a process so far. */
export interface UsageSample {
  atMs: number;
  cpuMs: number;
  /** Bytes through read and write calls, sockets included: an upper bound of what crossed links. */
  ioBytes: number;
  residentMb: number;
}

/** Cost over a span of time. */
export interface Usage {
  residentMb: number;
  /** Share of one core, in percent. */
  cpuPercent: number;
  bytesPerSecond: number;
}

const MS_PER_TICK = 10;
const FIELD_UTIME = 11;
const FIELD_STIME = 12;

/** Reads a live process's totals. */
export function sampleUsage(pid: number): UsageSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // Fields are counted after the command's name, which may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[FIELD_UTIME]) + Number(fields[FIELD_STIME]);
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    atMs: performance.now(),
    cpuMs: ticks * MS_PER_TICK,
    ioBytes: numberAfter(io, 'rchar:') + numberAfter(io, 'wchar:'),
    residentMb: numberAfter(status, 'VmRSS:') / 1024,
  };
}

/** Cost between two samples. */
export function usageBetween(before: UsageSample, after: UsageSample): Usage {
  const ms = after.atMs - before.atMs;
  return {
    residentMb: after.residentMb,
    cpuPercent: ((after.cpuMs - before.cpuMs) / ms) * 100,
    bytesPerSecond: ((after.ioBytes - before.ioBytes) / ms) * 1000,
  };
}

function numberAfter(text: string, label: string): number {
  const [, rest = ''] = text.split(label);
  return Number.parseInt(rest, 10);
}
