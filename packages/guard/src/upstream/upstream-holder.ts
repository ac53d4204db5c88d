/** The upstream beside this guard: from settings or self-announced, until it withdraws or falls silent. */
import { isDeepStrictEqual } from 'node:util';
import type { ProcessContext, Upstream } from '@zincspan/core';

/** `offered` upstreams may get work; `leaving` ones finish what they have. */
export type UpstreamChange = (upstream: Upstream | undefined) => void;

/** Knows the present upstream. */
export class UpstreamHolder {
  readonly #ctx: ProcessContext;

  readonly #ttlMs: number;

  readonly #fixed: boolean;

  readonly #onChange: UpstreamChange[] = [];

  #upstream: Upstream | undefined;

  #timer: NodeJS.Timeout | undefined;

  constructor({
    ctx,
    ttlMs,
    upstream,
  }: {
    ctx: ProcessContext;
    ttlMs: number;
    upstream?: Upstream | undefined;
  }) {
    this.#ctx = ctx;
    this.#ttlMs = ttlMs;
    this.#fixed = upstream !== undefined;
    this.#upstream = upstream;
  }

  get upstream(): Upstream | undefined {
    return this.#upstream;
  }

  /** Told of each change; undefined when it is gone. */
  onChange(fn: UpstreamChange): void {
    this.#onChange.push(fn);
  }

  /** The upstream announced itself: it is there for another `ttlMs`. */
  announced(upstream: Upstream): void {
    clearTimeout(this.#timer);
    if (!this.#fixed) this.#timer = setTimeout(() => this.#gone('upstream.expired'), this.#ttlMs);
    if (isDeepStrictEqual(upstream, this.#upstream)) return;
    this.#upstream = upstream;
    this.#ctx.timeline.record('upstream.announced', upstream.id, { type: upstream.type });
    this.#ctx.log.info({ upstream: upstream.id, type: upstream.type }, 'upstream announced');
    this.#onChange.forEach((fn) => fn(upstream));
  }

  /** The upstream leaves. */
  withdrawn(): void {
    this.#gone('upstream.withdrawn');
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #gone(type: string): void {
    clearTimeout(this.#timer);
    if (!this.#upstream) return;
    const { id } = this.#upstream;
    this.#upstream = undefined;
    this.#ctx.timeline.record(type, id);
    this.#ctx.log.info({ upstream: id }, type);
    this.#onChange.forEach((fn) => fn(undefined));
  }
}
