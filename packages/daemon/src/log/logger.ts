/** Structured logs by bunyan: one JSON object a line on standard output, for changes of state only. */
import bunyan from 'bunyan';
import type { Log, Settings } from '@zincspan/core';

/** A log whose every line names the process, its role and its failure domain. */
export function createLogger({ id, role, failureDomain, log }: Settings): Log {
  return bunyan.createLogger({ name: id, role, failureDomain, level: log.level });
}
