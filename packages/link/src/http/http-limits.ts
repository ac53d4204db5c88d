/** Limits of a bounded HTTP server. */

/** What the connections of one server may use together. */
export interface HttpLimits {
  /** Open connections. */
  maxConnections: number;
  /** Estimated memory of connections, of requests that aren't answered yet and of their bodies, in bytes. */
  maxMemoryBytes: number;
}

/** What a VM gives to a process. */
export interface ProcessLimits {
  memoryBytes: number;
  /** Open files, sockets and pipes. */
  maxDescriptors: number;
}

/** The callers' server may use this share of the memory; the heap, the code and everything else need the rest. */
const CALLER_MEMORY_SHARE = 1 / 8;

/** The callers' server leaves the other half to links, the store and the process's own files. */
const CALLER_DESCRIPTOR_SHARE = 1 / 2;

/** Servers with few and known clients: readiness checks, metrics, a runner's heartbeats. */
const INTERNAL_MEMORY_SHARE = 1 / 32;
const INTERNAL_DESCRIPTOR_SHARE = 1 / 16;

/** Limits of the server for callers. */
export function callerLimits(limits: ProcessLimits): HttpLimits {
  return shareOf(limits, CALLER_MEMORY_SHARE, CALLER_DESCRIPTOR_SHARE);
}

/** Limits of a server that only few clients use. */
export function internalLimits(limits: ProcessLimits): HttpLimits {
  return shareOf(limits, INTERNAL_MEMORY_SHARE, INTERNAL_DESCRIPTOR_SHARE);
}

function shareOf(
  { memoryBytes, maxDescriptors }: ProcessLimits,
  memoryShare: number,
  descriptorShare: number,
): HttpLimits {
  return {
    maxConnections: Math.max(1, Math.floor(maxDescriptors * descriptorShare)),
    maxMemoryBytes: Math.floor(memoryBytes * memoryShare),
  };
}
