/** A guard built from its settings. Loads nothing that only entries need. */
import 'reflect-metadata';
import { instanceCachingFactory, type DependencyContainer } from 'tsyringe';
import { BundleKeeper, BundleSync, reportHandlers, type GuardSettings } from '@zincspan/core';
import { Guard } from '@zincspan/guard';
import { CONTEXT, ROLE } from '../container/tokens.js';

/** Registers a guard as the ROLE. */
export function registerGuard(container: DependencyContainer, settings: GuardSettings): void {
  container.register(ROLE, { useFactory: instanceCachingFactory((c) => createGuard(c, settings)) });
}

function createGuard(container: DependencyContainer, settings: GuardSettings): Guard {
  const ctx = container.resolve(CONTEXT);
  const keeper = new BundleKeeper({ operators: settings.operators });
  const sync = new BundleSync({ ctx, keeper });
  const part: { guard?: Guard } = {};
  const status = (): Record<string, unknown> => ({
    ...part.guard?.status(),
    bundle: { version: keeper.version },
  });
  part.guard = new Guard({
    ctx,
    settings,
    handlers: { ...sync.handlers, ...reportHandlers({ ctx, status }) },
    bundles: keeper,
    bundleVersion: () => keeper.version,
    onBundleVersion: (peer, version) => sync.onVersion(peer, version),
    onPeer: (peer) => sync.onPeer(peer),
  });
  return part.guard;
}
