/** Builds a daemon's parts from its settings. */
import 'reflect-metadata';
import { randomUUID } from 'node:crypto';
import { container, instanceCachingFactory, type DependencyContainer } from 'tsyringe';
import {
  HybridClock,
  SystemClock,
  Timeline,
  type ProcessContext,
  type Settings,
} from '@zincspan/core';
import { createLogger } from '../log/logger.js';
import { StatsdMetrics } from '../metrics/statsd-metrics.js';
import { CONTEXT, LOG, METRICS, SETTINGS } from './tokens.js';

/** A container that knows everything but the role, which its own module registers. */
export function createContainer(settings: Settings): DependencyContainer {
  const child = container.createChildContainer();
  child.register(SETTINGS, { useValue: settings });
  child.register(LOG, {
    useFactory: instanceCachingFactory((c) => createLogger(c.resolve(SETTINGS))),
  });
  child.register(METRICS, {
    useFactory: instanceCachingFactory((c) => new StatsdMetrics(c.resolve(SETTINGS))),
  });
  child.register(CONTEXT, { useFactory: instanceCachingFactory(createContext) });
  return child;
}

/** The process's identity, new with every start, and what it reports through. */
function createContext(c: DependencyContainer): ProcessContext {
  const { id, role, failureDomain, timelineEvents } = c.resolve(SETTINGS);
  const clock = new SystemClock();
  const hybrid = new HybridClock({ clock });
  return {
    self: { id, role, incarnation: randomUUID(), failureDomain },
    clock,
    hybrid,
    timeline: new Timeline({ process: id, hybrid, size: timelineEvents }),
    metrics: c.resolve(METRICS),
    log: c.resolve(LOG),
  };
}
