/** The checkpoints of a gang's members as the one string that a job row holds. */

/** Packs one checkpoint per member; undefined unless every member has one. */
export function packCheckpoints(checkpoints: (string | undefined)[]): string | undefined {
  if (checkpoints.some((checkpoint) => checkpoint === undefined)) return undefined;
  return JSON.stringify(checkpoints);
}

/** The checkpoint that one member continues from. */
export function memberCheckpoint(packed: string | undefined, member: number): string | undefined {
  if (packed === undefined) return undefined;
  const checkpoints: unknown = JSON.parse(packed);
  const checkpoint: unknown = Array.isArray(checkpoints) ? checkpoints[member] : undefined;
  return typeof checkpoint === 'string' ? checkpoint : undefined;
}
