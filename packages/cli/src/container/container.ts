/** Builds what commands work with. Registered by factory, as bundlers drop decorator metadata. */
import 'reflect-metadata';
import {
  container,
  instanceCachingFactory,
  type DependencyContainer,
  type InjectionToken,
} from 'tsyringe';
import type { OperatorKey } from '@zincspan/core';
import { EntryClient } from '../client/entry-client.js';
import { loadClientConfig, type ClientConfig } from '../config/client-config.js';
import { Output, type Io } from '../output/output.js';

export const CONFIG: InjectionToken<ClientConfig & { key: OperatorKey }> = Symbol('config');
export const CLIENT: InjectionToken<EntryClient> = Symbol('client');
export const OUTPUT: InjectionToken<Output> = Symbol('output');

/** A container for one run. Client settings are read only by commands that need them. */
export function createContainer({
  io,
  json,
  configFile,
}: {
  io: Io;
  json: boolean;
  configFile: string;
}): DependencyContainer {
  const child = container.createChildContainer();
  child.register(OUTPUT, { useValue: new Output({ io, json }) });
  child.register(CONFIG, {
    useFactory: instanceCachingFactory(() => loadClientConfig(configFile)),
  });
  child.register(CLIENT, {
    useFactory: instanceCachingFactory((c) => new EntryClient(c.resolve(CONFIG))),
  });
  return child;
}
