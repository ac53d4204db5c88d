/** Tokens of what the container builds. Registered by factory, as bundlers drop decorator metadata. */
import type { InjectionToken } from 'tsyringe';
import type { Log, ProcessContext, Settings } from '@zincspan/core';
import type { StatsdMetrics } from '../metrics/statsd-metrics.js';
import type { Role } from '../role/role.js';

export const SETTINGS: InjectionToken<Settings> = Symbol('settings');
export const LOG: InjectionToken<Log> = Symbol('log');
export const METRICS: InjectionToken<StatsdMetrics> = Symbol('metrics');
export const CONTEXT: InjectionToken<ProcessContext> = Symbol('context');
export const ROLE: InjectionToken<Role> = Symbol('role');
