/** Keys of the rows of jobs, claims and owner leases. */

/** Row of a job. */
export function jobKey(account: string, id: string): string {
  return `jobs/${account}/${id}`;
}

/** Row that stands beside a job until it is final. */
export function activeJobKey(failureDomain: string, account: string, id: string): string {
  return `active/${failureDomain}/${account}/${id}`;
}

/** Row of a claim. */
export function claimKey(account: string, id: string): string {
  return `claims/${account}/${id}`;
}

/** Row that stands beside a claim until it is released. */
export function activeClaimKey(failureDomain: string, account: string, id: string): string {
  return `active-claims/${failureDomain}/${account}/${id}`;
}

/** Lease row of a failure domain. */
export function ownerKey(failureDomain: string): string {
  return `owners/${failureDomain}`;
}

/** Account and id at the end of any of these keys. */
export function accountAndId(key: string): { account: string; id: string } {
  const [account = '', id = ''] = key.split('/').slice(-2);
  return { account, id };
}
