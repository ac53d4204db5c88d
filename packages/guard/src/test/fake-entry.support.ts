/** An entry that only talks to guards: keeps what they say, and gives orders. */
import { randomUUID } from 'node:crypto';
import { EventEmitter, once } from 'node:events';
import {
  CountingMetrics,
  HybridClock,
  SystemClock,
  Timeline,
  type Announcement,
  type Handlers,
  type Order,
  type ProcessContext,
  type TaskEnd,
  type TaskUsage,
  type AttemptRef,
} from '@zincspan/core';
import { LinkServer, type Link } from '@zincspan/link';

export const KEYS = ['an-old-and-honest-key-of-32-bytes'];
export const DOMAIN = 'bayangol';
const HEARTBEAT = { everyMs: 100, silenceMs: 1000 };

export function makeContext(id: string, role: 'entry' | 'guard'): ProcessContext {
  const clock = new SystemClock();
  const hybrid = new HybridClock({ clock });
  return {
    self: { id, role, incarnation: randomUUID(), failureDomain: DOMAIN },
    clock,
    hybrid,
    timeline: new Timeline({ process: id, hybrid }),
    metrics: new CountingMetrics(),
    log: { info: () => {}, warn: () => {}, error: () => {} },
  };
}

export class FakeEntry {
  readonly ctx: ProcessContext;

  /** Whether it says so when a guard asks. */
  readonly reachesOwner: boolean;

  /** Times that it was asked after the owner. */
  asked = 0;

  readonly announcements: Announcement[] = [];

  readonly ends: TaskEnd[] = [];

  readonly readies: AttemptRef[] = [];

  readonly usages: TaskUsage[] = [];

  term = 1;

  #server: LinkServer | undefined;

  readonly #events = new EventEmitter();

  constructor({ id = 'entry-1', reachesOwner = false } = {}) {
    this.ctx = makeContext(id, 'entry');
    this.reachesOwner = reachesOwner;
  }

  async start(listen = '127.0.0.1:0'): Promise<string> {
    const handlers: Handlers = {
      'upstream.announce': (req) => this.#note(this.announcements, req, { bundleVersion: 0 }),
      'task.ready': ({ ref }) => this.#note(this.readies, ref, {}),
      'task.ended': (end) => this.#note(this.ends, end, {}),
      'task.usage': ({ usages }) => {
        this.usages.push(...usages);
        return this.#note([], undefined, {});
      },
    };
    handlers['owner.reachable'] = () => {
      this.asked += 1;
      return this.#note([], undefined, { reachable: this.reachesOwner });
    };
    this.#server = new LinkServer({
      ctx: this.ctx,
      listen,
      keys: KEYS,
      heartbeat: HEARTBEAT,
      handlers,
    });
    return this.#server.start();
  }

  /** The link to the guard. */
  get guard(): Link {
    const [link] = this.#server?.links() ?? [];
    if (!link) throw new Error('no guard is linked');
    return link;
  }

  get order(): Order {
    return {
      failureDomain: DOMAIN,
      term: this.term,
      incarnation: this.guard.process.incarnation,
    };
  }

  /** Waits until `check` holds, looking again whenever a guard has said something. */
  async until(check: () => boolean): Promise<void> {
    while (!check()) await once(this.#events, 'said');
  }

  async untilReady(): Promise<void> {
    await this.untilTold('ready');
  }

  /** Waits until the last announcement has this state. */
  async untilTold(state: Announcement['state']): Promise<void> {
    await this.until(() => this.announcements[this.announcements.length - 1]?.state === state);
  }

  async close(): Promise<void> {
    await this.#server?.close();
  }

  #note<T, R>(list: T[], value: T, res: R): R {
    list.push(value);
    this.#events.emit('said');
    return res;
  }
}
