/** The handlers of all parts of an entry as one group. */
import type { Handlers, Method } from '@zincspan/core';
import type { EntryApp } from './app.js';

/** Merges handlers; a method that two parts answer is a mistake in the composition. */
export function mergeHandlers(apps: readonly EntryApp[]): Handlers {
  const owners = new Map<string, string>();
  apps.forEach(({ name, handlers = {} }) => {
    (Object.keys(handlers) as Method[]).forEach((method) => {
      const other = owners.get(method);
      if (other !== undefined) {
        throw new Error(`Parts ${other} and ${name} both answer ${method}. Remove one handler.`);
      }
      owners.set(method, name);
    });
  });
  return Object.assign({}, ...apps.map(({ handlers }) => handlers ?? {})) as Handlers;
}
