/** From an owner's reservation to the worker's task and back. */
import { taskName, type AttemptRef, type GangReserve, type WorkerTask } from '@zincspan/core';

const NAME_PATTERN = /^(.+)~(\d+)~(\d+)$/;

/** What the worker is told, but for the lease. */
export function toTaskOrder({ ref, member, task }: GangReserve): Omit<WorkerTask, 'leaseMs'> {
  const { tasks, kind, params, checkpoint, checkpointable } = task!;
  return {
    task: taskName(ref),
    member: ref.member,
    accelerators: member.accelerators,
    cores: member.cores,
    memoryMb: member.memoryMb,
    tasks,
    kind,
    params,
    checkpointable,
    ...(checkpoint === undefined ? {} : { checkpoint }),
  };
}

/** The attempt behind a task's name; undefined for names that aren't ours. */
export function toRef(name: string): AttemptRef | undefined {
  const match = NAME_PATTERN.exec(name);
  if (!match) return undefined;
  const [, key = '', attempt, member] = match;
  return { key: key.replaceAll('~', '/'), attempt: Number(attempt), member: Number(member) };
}

/** Detail of a time line event about an attempt. */
export function jobOf({ key, attempt, member }: AttemptRef): {
  job: string;
  attempt: number;
  member: number;
} {
  return { job: key, attempt, member };
}
