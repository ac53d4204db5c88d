/** Limits of a bounded HTTP server. */

/** What the connections of one server may use together. */
export interface HttpLimits {
  /** Open connections. */
  maxConnections: number;
  /** Estimated memory of requests that aren't answered yet, of their bodies and of connections that aren't read, in bytes. */
  maxMemoryBytes: number;
}

/** What a VM gives to a process. */
export interface ProcessLimits {
  memoryBytes: number;
  /** Open files, sockets and pipes. */
  maxDescriptors: number;
}

/** Memory of a process without clients, in bytes: its code and its heap. */
const OWN_BYTES = 134_217_728;

/** The least part of a small memory that is assumed to be left beside it. */
const MIN_LEFT_SHARE = 1 / 4;

/** Estimated memory of an open connection, in bytes: most of it has been received by the kernel before the server reads it. */
const CONNECTION_BYTES = 65_536;

/** What one server may use of a VM. */
interface Shares {
  /** Of all descriptors, for connections. */
  descriptors: number;
  /** Of the memory that the process leaves, for connections. */
  connections: number;
  /** Of the same memory, for requests: a small share, since released memory is in use until the next garbage collection. */
  requests: number;
}

/** The other descriptors are for links, the store and files. */
const CALLER_SHARES: Shares = { descriptors: 1 / 2, connections: 3 / 5, requests: 1 / 8 };

/** Servers with few and known clients: readiness checks, metrics, a runner's heartbeats. */
const INTERNAL_SHARES: Shares = { descriptors: 1 / 16, connections: 1 / 8, requests: 1 / 16 };

/** Limits of the server for callers. */
export function callerLimits(limits: ProcessLimits): HttpLimits {
  return shareOf(limits, CALLER_SHARES);
}

/** Limits of a server that only few clients use. */
export function internalLimits(limits: ProcessLimits): HttpLimits {
  return shareOf(limits, INTERNAL_SHARES);
}

function shareOf({ memoryBytes, maxDescriptors }: ProcessLimits, shares: Shares): HttpLimits {
  const leftBytes = Math.max(memoryBytes - OWN_BYTES, memoryBytes * MIN_LEFT_SHARE);
  const byDescriptors = maxDescriptors * shares.descriptors;
  const byMemory = (leftBytes * shares.connections) / CONNECTION_BYTES;
  return {
    maxConnections: Math.max(1, Math.floor(Math.min(byDescriptors, byMemory))),
    maxMemoryBytes: Math.floor(leftBytes * shares.requests),
  };
}
