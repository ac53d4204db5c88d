/**
 * How the parts of an entry plug in. Each part exports an `EntryAppFactory`; `Entry` calls it once with `EntryDeps`,
 * merges its handlers into the links, lets it register routes, and takes it through start, drain and stop.
 */
import type { Server } from '@hapi/hapi';
import type { EntrySettings, Handlers, ObjectStore, ProcessContext, Table } from '@zincspan/core';
import type { BundleSource } from './bundle-source.js';
import type { AccountDirectory } from './http/account-directory.js';
import type { UpstreamDirectory } from './membership/upstream-directory.js';
import type { EntryMesh } from './mesh/entry-mesh.js';

/** What every part of an entry is given. */
export interface EntryDeps {
  ctx: ProcessContext;
  settings: EntrySettings;
  table: Table;
  objectStore: ObjectStore;
  bundles: BundleSource;
  accounts: AccountDirectory;
  upstreams: UpstreamDirectory;
  mesh: EntryMesh;
  /** True from the first moment of a drain: take no new work. */
  isDraining(): boolean;
  /** Status of every part by its name, for operators. */
  status(): Record<string, unknown>;
}

/** A part of an entry. Every member but the name is optional. */
export interface EntryApp {
  readonly name: string;
  /** Answers to calls on links; a method belongs to one app only. */
  readonly handlers?: Handlers;
  /** Registers HTTP routes, before the server listens. */
  routes?(server: Server): void;
  /** Called once links and HTTP listen. */
  start?(): Promise<void> | void;
  /** Hands over what this entry holds, such as leases; runs while requests in progress finish. */
  drain?(): Promise<void>;
  /** Ends timers and loops; the links are still up. */
  stop?(): Promise<void> | void;
  /** A part of the process's status. */
  status?(): Record<string, unknown>;
}

/** Makes a part of an entry. */
export type EntryAppFactory = (deps: EntryDeps) => EntryApp;
