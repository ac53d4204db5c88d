/** An entry built from its settings: table, object store, bundle, links and parts. */
import 'reflect-metadata';
import { instanceCachingFactory, type DependencyContainer } from 'tsyringe';
import type { EntrySettings } from '@zincspan/core';
import { Entry, EntryBundles, linkMesh, operatorApp, ownerApp } from '@zincspan/entry';
import { HttpObjectStore, HttpTable } from '@zincspan/platform';
import { CONTEXT, ROLE } from '../container/tokens.js';

/** Registers an entry as the ROLE. */
export function registerEntry(container: DependencyContainer, settings: EntrySettings): void {
  container.register(ROLE, { useFactory: instanceCachingFactory((c) => createEntry(c, settings)) });
}

function createEntry(container: DependencyContainer, settings: EntrySettings): Entry {
  const ctx = container.resolve(CONTEXT);
  const { metrics, log, clock } = ctx;
  const bundles = new EntryBundles({ ctx, settings });
  return new Entry({
    ctx,
    settings,
    table: new HttpTable({ ...settings.table, metrics, log, clock }),
    objectStore: new HttpObjectStore({ ...settings.objectStore, metrics, log, clock }),
    bundles: bundles.keeper,
    apps: [bundles.app, ownerApp(), operatorApp(bundles)],
    links: linkMesh({ onBundleVersion: (peer, version) => bundles.onBundleVersion(peer, version) }),
  });
}
