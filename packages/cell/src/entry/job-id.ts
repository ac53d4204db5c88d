/** Ids of jobs. */

/** Job ids are chosen by callers. */
export const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;
