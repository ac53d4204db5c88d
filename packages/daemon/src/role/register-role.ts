/** Loads only the code of the role that settings name: a guard's VM never pays for an entry's libraries. */
import type { DependencyContainer } from 'tsyringe';
import type { Settings } from '@zincspan/core';

/** Registers the ROLE of these settings. */
export async function registerRole(
  container: DependencyContainer,
  settings: Settings,
): Promise<void> {
  if (settings.role === 'guard') {
    const { registerGuard } = await import('./guard-role.js');
    registerGuard(container, settings);
    return;
  }
  const { registerEntry } = await import('./entry-role.js');
  registerEntry(container, settings);
}
