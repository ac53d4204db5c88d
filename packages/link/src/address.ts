/** Addresses as settings write them. */

/** Parts of `IP:port`; IPv6 addresses come bracketed. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
}
