/** Parsing of addresses from the settings. */

/** Splits `IP:port`; IPv6 addresses are in brackets. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
}
